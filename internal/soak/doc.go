// Package soak runs entry hosts as separate processes on one machine, injects
// faults from outside them, and checks the promises of the system from what
// callers and backend servers see. It has test files only; see README.md.
package soak
