// Package prover holds the proofs of what must always hold: the fault matrix,
// which brings about every fault at every step of a request's life. The real
// services of a node run against stand-ins on an in-memory network, in virtual
// time, and the checkers read the stand-ins' own counts.
package prover
