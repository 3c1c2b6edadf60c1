package main

import (
	"context"
	"os/signal"
	"syscall"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/transport/entry"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings, JSON with comments"`
}

// Execute runs an entry instance until SIGTERM or SIGINT, then drains its requests.
func (command *serveCommand) Execute([]string) error {
	settings, err := conf.Load(command.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(settings.LogLevel)
	provider, err := newTracerProvider(ctx, settings)
	if err != nil {
		return err
	}
	defer func() { _ = provider.Shutdown(context.WithoutCancel(ctx)) }()
	instance := entry.New(settings,
		entry.WithLogger(logger),
		entry.WithVersion(version),
		entry.WithTracer(provider.Tracer("mangopier")))
	if err := instance.Start(ctx); err != nil {
		return code.Wrap(err, code.SettingsInvalid, "listen")
	}
	<-ctx.Done()
	logger.Info().Str("part", "serve").Msg("shutdown started")
	aborted := instance.Stop(context.WithoutCancel(ctx))
	logger.Info().Str("part", "serve").Int64("cut", aborted).Msg("shutdown finished")
	return nil
}

// newTracerProvider returns a provider that exports to the OTLP collector of the
// settings, or one that samples nothing if no collector is set.
func newTracerProvider(ctx context.Context, settings conf.Settings) (*sdk.TracerProvider, error) {
	if settings.Trace.Endpoint == "" {
		return sdk.NewTracerProvider(sdk.WithSampler(sdk.NeverSample())), nil
	}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpoint(settings.Trace.Endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, code.Wrap(err, code.SettingsInvalid, "trace endpoint")
	}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", "mangopier"),
		attribute.String("service.instance.id", settings.Instance))
	return sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(attributes)), nil
}
