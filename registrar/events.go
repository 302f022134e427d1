package registrar

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventNotRegistered = logger.Define(4100, logrus.WarnLevel, "node list unavailable",
		"The node could not write its own entry or read the entries of other nodes. It retries until it succeeds.")
	eventUnreadable = logger.Define(4101, logrus.WarnLevel, "unreadable node entry",
		"An entry of the node list cannot be decoded and is skipped.")
	eventEntryMissing = logger.Define(4102, logrus.WarnLevel, "own node entry missing",
		"The node list lacks the node's own entry, or shows it with another address. This happens when the platform's store is restored from a backup, or refused the first write. The node writes the entry again.")
)
