// Package rpsystem contains tests that run the program as separate processes and
// inject faults: they kill, pause and stop processes, cut connections and make
// the stand-ins of the platform fail.
//
// # Usage
//
// The package has tests only:
//
//	go test -race ./internal/rpsystem
//	go test -race ./internal/rpsystem -run TestPause -logs /tmp/logs
//
// TestMain builds cmd/rattanpaddle once, with the race detector if the tests run
// with it. withCluster starts the stand-ins and six instances in three failure
// domains on addresses 127.x.y.z with a random x. Instances reach each other and
// the platform through forwarders that a test can cut:
//
//	c := withCluster(t, clusterConfig{Engines: 2, Models: []model{{Name: "cold", MaxReplicas: 1}}})
//	c.cutPeers(1, 2)
//	answer := c.instances[0].chat("cold", "a prompt", 8, 10*time.Second)
//
// The processes of a test are killed when it ends. With -logs, their logs are
// kept in a directory. A data race or panic in any process fails the test.
package rpsystem
