// Package publisherrpc is the generated protocol by which nodes pass accepted
// configurations on. The publisher package is its only user.
package publisherrpc
