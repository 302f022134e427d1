package server

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventLeaving = logger.Define(7001, logrus.InfoLevel, "node leaving",
		"The node is shutting down. Its address is no longer given to callers, and it accepts requests for as long as callers may have that address cached.")
	eventLeaveNotAnnounced = logger.Define(7002, logrus.WarnLevel, "leaving not announced to every peer",
		"The node could not announce to some peers that it leaves. They learn this from later probes.")
)
