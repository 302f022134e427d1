package receiver

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var eventAccountLimited = logger.Define(8001, logrus.WarnLevel, "account at its bound",
	"An account has as many requests at this node as it may; more are refused. Told once until the account has none left. Raise requests.max-in-flight-per-account if they were wanted, or give the account a route of its own with the lesser rank.")
