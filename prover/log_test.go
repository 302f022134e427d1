package prover

import "github.com/sirupsen/logrus"

// logLevel is the level of the nodes' logs, which go to the test's output.
const logLevel = logrus.DebugLevel
