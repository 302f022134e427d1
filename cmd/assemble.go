package cmd

import (
	"context"

	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/logger"
)

// assemble makes a node from its settings.
func assemble(_ context.Context, _ configurator.Settings, _ *logger.Logger) (runner, error) {
	return nil, Failed.New("this build has no request path yet")
}
