package isolator

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventCrash = logger.Define(3100, logrus.WarnLevel, "backend server crashed with requests in flight",
		"The requests continue on other backend servers; one that is in flight at a second crash is quarantined.")
	eventQuarantined = logger.Define(3101, logrus.ErrorLevel, "poison request quarantined",
		"The request was in flight at crashes of two different backend servers; it is refused until its record expires.")
	eventPartsCrash = logger.Define(3103, logrus.InfoLevel, "engine ended with parts of a prompt in flight",
		"The process of an engine ended while it ran a request of this node; the field parts has hashes of the parts of its prompt that other requests share, names the ids that the caller gave the first of them, and left-out the number of those that a long prompt has besides.")
	eventPartQuarantined = logger.Define(3104, logrus.ErrorLevel, "parts of prompts quarantined",
		"Requests with all these parts of a prompt were in flight when several engines ended, and none ran well in between; requests with all of them are refused. Doubtful means that the parts ran well before the crashes, or that other parts explain the crashes as well; such a verdict is tried again within seconds.")
	eventPartReleased = logger.Define(3105, logrus.InfoLevel, "quarantine of parts of prompts ended",
		"A request with one of the parts ran well, the evidence expired, or further evidence names other parts.")
	eventPartTrial = logger.Define(3106, logrus.InfoLevel, "quarantined parts of prompts tried again",
		"This node lets one request with the parts run; the others go on refusing them until its outcome is known.")
	eventBadMessage = logger.Define(3102, logrus.WarnLevel, "unreadable isolator message",
		"Another node sent a crash report that cannot be decoded; it was dropped.")
)
