package excluder

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventVMLeaving = logger.Define(6101, logrus.InfoLevel, "VM is leaving",
		"The platform lists the VM as leaving. Its backend servers finish their work and get no new work. No table has to be edited.")
	eventVMReadmitted = logger.Define(6102, logrus.InfoLevel, "VM is no longer leaving",
		"No node has reported the VM as leaving for a while. Its backend servers get new work again if they are still in the pools table.")
)
