package follower

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// fieldVersion is the field of a collection's or object's version.
const fieldVersion = "version"

var (
	eventStoreReadFailed = logger.Define(5300, logrus.WarnLevel, "store read failed",
		"A read of the platform's store failed. The node keeps using its copies and polls other nodes.")
	eventStoreReadRecovered = logger.Define(5301, logrus.InfoLevel, "store read recovered",
		"This node can read the platform's store again.")
	eventDigestMismatch = logger.Define(5303, logrus.WarnLevel, "delta from peer does not match digest",
		"The changes that another node sent produced a copy with the wrong digest. The node requests the whole collection.")
	eventPeerPollFailed = logger.Define(5302, logrus.DebugLevel, "peer poll failed",
		"Another node did not answer a request for newer copies. The node tries the next source.")
	eventCopyStale = logger.Define(5304, logrus.WarnLevel, "copy stale",
		"No source has confirmed the node's copies for a while; the node may not know the latest changes. It says once how old the copies are until they are confirmed again.")
	eventCopyFresh = logger.Define(5305, logrus.InfoLevel, "copy fresh again",
		"A source confirmed the copies after they were stale; largest-age-ms is their largest age meanwhile.")
	eventContentReceived = logger.Define(5308, logrus.InfoLevel, "large content received",
		"The node has the content of a large object that another node announced wait-ms before.")
	eventContentFailed = logger.Define(5309, logrus.WarnLevel, "large content not received",
		"Another node did not send the content of a large object, or it could not be decoded. The node asks others.")
	eventVerifyFailed = logger.Define(5310, logrus.WarnLevel, "large collection not verified",
		"A read of a whole collection with a large object failed. The node goes on reading its changes.")
	eventPanicked = logger.Define(5311, logrus.ErrorLevel, "read ended by a panic",
		"A fault of this program ended one read of the store or of another node's copies; source is the node or the store. The copies stay as they are. Report the value and the stack.")
	eventStoreRestored = logger.Define(5306, logrus.WarnLevel, "store restored",
		"The platform's store was restored from a backup. Its latest changes are undone until they are written again; version is that of the first listing since, held-version that of the copy that it replaces.")
	eventRestoredListing = logger.Define(5307, logrus.InfoLevel, "restored listing merged",
		"The first listing of a collection since the store was restored. The node knows later objects than some listed ones, and the removal of others before the restore; it goes on using what it knows.")
)
