package prover

import "github.com/sirupsen/logrus"

// logLevel is the level of the nodes' logs, which go test prints for a failing test.
const logLevel = logrus.DebugLevel
