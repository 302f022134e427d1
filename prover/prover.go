// Package prover tests the router's guarantees under faults: the fault matrix
// injects every fault at every step of a request. The real services of a node run
// against emulated back ends and an emulated platform on an in-memory network, in
// virtual time, and the checks read the counters of the emulators.
package prover
