// Package regionbench measures the loss of a region: three regions, 24 entry
// hosts, pools as slots with queues by rank, and the code of the packages
// shift and route. It has test files only. Its figures are in docs/MEASUREMENTS.md.
package regionbench
