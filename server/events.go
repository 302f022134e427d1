package server

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventLeaving = logger.Define(7001, logrus.InfoLevel, "node leaving",
		"The node was told to stop. It is out of the address answer and takes requests for as long as callers keep that answer.")
	eventLeaveUnheard = logger.Define(7002, logrus.WarnLevel, "leaving not told to every peer",
		"The node could not tell its peers at once that it leaves; they learn it from the next probes.")
)
