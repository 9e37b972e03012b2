// Package regionbench simulates the loss of one of three regions in virtual
// time. It measures how many requests are answered in time and checks that the
// caps hold. The model has 24 entry hosts and runs the code of the packages shift
// and route; a pool is a number of slots with queues by rank and origin. The
// package has test files only. Its figures are in docs/MEASUREMENTS.md.
package regionbench
