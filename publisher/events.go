package publisher

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventInForce = logger.Define(5000, logrus.InfoLevel, "configuration in force",
		"The node moved to a larger configuration number.")
	eventAccepted = logger.Define(5001, logrus.InfoLevel, "configuration accepted",
		"The node published a configuration. Fields name the number and the data centres not reached.")
	eventRefused = logger.Define(5002, logrus.WarnLevel, "table edit refused",
		"A table does not fit the other or is malformed. The configuration in force stays; correct the table.")
	eventRaced = logger.Define(5003, logrus.InfoLevel, "table edit lost a race",
		"Another edit was accepted first. Read the tables again and repeat the edit.")
	eventStoreFailing = logger.Define(5004, logrus.WarnLevel, "store call failed, backing off",
		"The platform's store is down, slow or ends watches. The configuration in force stays in force.")
	eventStoreOlder = logger.Define(5005, logrus.ErrorLevel, "store holds an older configuration than the nodes",
		"The store was restored from a backup. The nodes keep what they have and write it back.")
	eventForked = logger.Define(5006, logrus.ErrorLevel, "two configurations of one number",
		"Possible only after a store was restored. The store's content is published under the next number.")
	eventUnreadable = logger.Define(5007, logrus.ErrorLevel, "configuration cannot be read",
		"A stored or received configuration is damaged or made by a newer program. The one in force stays.")
	eventPeerFailing = logger.Define(5008, logrus.DebugLevel, "peer did not take or give a configuration",
		"Anti-entropy repairs it; frequent entries point to a cut between nodes.")
)
