package prover

import "github.com/sirupsen/logrus"

// logLevel of the nodes' logs in failing tests.
const logLevel = logrus.DebugLevel
