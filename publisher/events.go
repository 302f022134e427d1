package publisher

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventActivated = logger.Define(5000, logrus.InfoLevel, "configuration activated",
		"The node switched to a configuration with a larger number.")
	eventAccepted = logger.Define(5001, logrus.InfoLevel, "configuration accepted",
		"The node published a configuration. The fields give its number and the data centres not reached.")
	eventRefused = logger.Define(5002, logrus.WarnLevel, "table edit refused",
		"A table is malformed or does not match the other table. The active configuration stays; correct the table.")
	eventRaced = logger.Define(5003, logrus.InfoLevel, "table edit conflicted with another edit",
		"Another edit was stored first. Read the tables again and repeat the edit.")
	eventStoreFailing = logger.Define(5004, logrus.WarnLevel, "store call failed, backing off",
		"The platform's store is down, slow or closes watches. The active configuration stays.")
	eventStoreOlder = logger.Define(5005, logrus.ErrorLevel, "store has an older configuration than the nodes",
		"The store was restored from a backup. The nodes keep their configuration and write it back to the store.")
	eventForked = logger.Define(5006, logrus.ErrorLevel, "two configurations have the same number",
		"Possible only after the store was restored. The store's content is published under the next number.")
	eventUnreadable = logger.Define(5007, logrus.ErrorLevel, "configuration cannot be decoded",
		"A stored or received object is damaged or was written by a newer program. The active configuration stays.")
	eventPeerFailing = logger.Define(5008, logrus.DebugLevel, "configuration exchange with a peer failed",
		"A later comparison with a peer recovers it; frequent entries point to a network partition between nodes.")
)
