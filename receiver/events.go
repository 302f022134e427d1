package receiver

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var eventAccountLimited = logger.Define(8001, logrus.WarnLevel, "account at its in-flight limit",
	"An account has as many requests in flight at this node as it is allowed; more are refused. Logged once until the account has none in flight. Raise requests.max-in-flight-per-account if the requests are legitimate, or give the account a route of its own with the lesser rank.")
