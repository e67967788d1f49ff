/*
 * The claim of a request that may run only once.
 *
 * A caller sends the same request, with one idempotency key, to two instances,
 * sequentially or concurrently. The table may refuse a write, lose the answer to
 * a write, or be down. Instances restart. The answer of the endpoint may be lost,
 * or the endpoint may report that it did not run the request.
 *
 * Checked: the request runs at most once, and a request that was refused with
 * not_run never runs afterwards.
 *
 * Deliberate faults, for which the check must fail:
 *   FAULT_LOST_WRITE_IS_OURS   a write whose answer is lost counts as applied
 *   FAULT_CLAIM_PASSES_ON      an open claim is taken over by another instance
 *   FAULT_FREE_UNCERTAIN       the claim is deleted after an attempt without an answer
 *   FAULT_NOT_RUN_IN_DOUBT     a request is refused with not_run after an attempt without an answer
 *   FAULT_RETRY_IN_DOUBT       an attempt without an answer is sent again
 */

#define NONE 0
#define OPEN 1
#define FINISHED 2
#define UNCERTAIN 3

/* The claim row. */
byte state;
byte owner;
byte owner_lifetime;

byte runs;
byte lifetime[2];
/* Attempts in transit to the endpoint, by instance and lifetime. */
byte attempts[4];
bool answered[4], not_run[4];
bool refused_not_run[4];

byte restarts = 1;
/* Table writes that may still be refused or whose answer may still be lost. */
byte losses = 2;

#define ME ((me) * 2 + lifetime[me])

proctype Endpoint() {
	byte a;
end:
	do
	:: atomic {
		if
		:: attempts[0] > 0 -> a = 0
		:: attempts[1] > 0 -> a = 1
		:: attempts[2] > 0 -> a = 2
		:: attempts[3] > 0 -> a = 3
		fi;
		attempts[a]--;
		if
		/* The attempt is lost, or refused before it runs. */
		:: skip
		:: not_run[a] = true
		/* It runs; the answer arrives or is lost. */
		:: runs++;
			assert(runs <= 1);
			assert(!refused_not_run[a]);
			if
			:: answered[a] = true
			:: skip
			fi
		fi;
		a = 0
	}
	od
}

proctype Instance(byte me) {
	bool arrived, waiting, claimed, in_doubt, dispatched;
end:
	do
	/* A request arrives, one for each lifetime: a verdict is about one request. */
	:: atomic {
		!arrived ->
		arrived = true;
		waiting = true
	}
	/* Claim: the row must not exist. */
	:: atomic {
		waiting ->
		waiting = false;
		if
		:: state == NONE ->
			state = OPEN;
			owner = me;
			owner_lifetime = lifetime[me];
			if
			:: claimed = true
			:: losses > 0 -> losses--; in_doubt = true
			fi
#ifdef FAULT_CLAIM_PASSES_ON
		:: state == OPEN -> claimed = true
#endif
		/* Another one has it: wait, replay its outcome or refuse. */
		:: state != NONE -> skip
		/* The write did not reach the table and its answer is lost. */
		:: losses > 0 -> losses--; in_doubt = true
		/* The table refuses. */
		:: losses > 0 -> losses--; refused_not_run[ME] = true
		fi
	}
	/* Resolve a lost answer by reading the row back. */
	:: atomic {
		in_doubt ->
		in_doubt = false;
		if
#ifdef FAULT_LOST_WRITE_IS_OURS
		:: claimed = true
#else
		:: state == OPEN && owner == me && owner_lifetime == lifetime[me] -> claimed = true
		:: state == NONE -> waiting = true
		:: state != NONE && !(owner == me && owner_lifetime == lifetime[me]) -> skip
#endif
		/* The table stays down: refuse, and never dispatch afterwards. */
		:: refused_not_run[ME] = true
		fi
	}
	/* Dispatch, once. */
	:: atomic {
		claimed && !dispatched ->
		dispatched = true;
		attempts[ME]++
	}
	/* The deadline passes before the dispatch: withdraw the claim. */
	:: atomic {
		claimed && !dispatched ->
		claimed = false;
		refused_not_run[ME] = true;
		if
		:: state == OPEN && owner == me && owner_lifetime == lifetime[me] -> state = NONE
		:: else -> skip
		fi
	}
	/* The endpoint answered. */
	:: atomic {
		dispatched && answered[ME] ->
		answered[ME] = false;
		dispatched = false;
		claimed = false;
		if
		:: state == OPEN -> state = FINISHED
		:: else -> skip
		fi
	}
	/* The endpoint says that it did not run: free the claim. */
	:: atomic {
		dispatched && not_run[ME] ->
		not_run[ME] = false;
		dispatched = false;
		claimed = false;
		refused_not_run[ME] = true;
		if
		:: state == OPEN && owner == me && owner_lifetime == lifetime[me] -> state = NONE
		:: else -> skip
		fi
	}
	/* No answer came: the outcome is uncertain. */
	:: atomic {
		dispatched && !answered[ME] && !not_run[ME] ->
		dispatched = false;
		claimed = false;
#ifdef FAULT_RETRY_IN_DOUBT
		attempts[ME]++;
#endif
#ifdef FAULT_NOT_RUN_IN_DOUBT
		refused_not_run[ME] = true;
#endif
#ifdef FAULT_FREE_UNCERTAIN
		state = NONE
#else
		if
		:: state == OPEN -> state = UNCERTAIN
		:: else -> skip
		fi
#endif
	}
	/* Restart: the next lifetime knows nothing of this one. */
	:: atomic {
		restarts > 0 ->
		restarts--;
		lifetime[me]++;
		arrived = false;
		waiting = false;
		claimed = false;
		in_doubt = false;
		dispatched = false
	}
	od
}

init {
	atomic {
		run Endpoint();
		run Instance(0);
		run Instance(1)
	}
}
