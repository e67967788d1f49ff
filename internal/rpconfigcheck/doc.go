// Package rpconfigcheck checks a configuration of the users' platform before it is sent,
// and compares it with the version in force.
//
// # Usage
//
//	file, err := rpwire.ReadConfigFile(data)
//	for _, problem := range rpconfigcheck.Check(file, nil) {
//		fmt.Println(problem.Error())
//	}
//	changes := rpconfigcheck.Diff(inForce, file)
//
// Check reports what the gateway accepts but can't act on: entries that can never match
// and limits that contradict each other. Callers' keys appear as digests only.
package rpconfigcheck
