package rpqueue

// Groups returns the number of kinds and accounts that are counted.
func (o *Order) Groups() int { return len(o.kinds.groups) + len(o.accounts.groups) }
