package limiter

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var eventBadQuota = logger.Define(6103, logrus.WarnLevel, "bad message about a rate",
	"Another node's message about the rate of a back end could not be decoded.")
