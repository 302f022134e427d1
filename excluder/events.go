package excluder

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventVMLeaving = logger.Define(6101, logrus.InfoLevel, "backend servers of a leaving VM get no new work",
		"The platform lists the VM as leaving. Its members finish what they run; no table has to be edited.")
	eventVMReadmitted = logger.Define(6102, logrus.InfoLevel, "backend servers of a VM may get new work again",
		"No node has told for a while that the VM leaves. Its members take work where they are still in the pools table.")
)
