// Package processtest holds a test of the built programs as separate processes
// on loopback addresses: six entry hosts in three regions, which run galenabeamd
// without -platform, and galenabeam-standin. It is not part of "go test ./...",
// because it starts processes and runs in real time. Run it with
//
//	go test -tags processes -count=1 ./internal/processtest
package processtest
