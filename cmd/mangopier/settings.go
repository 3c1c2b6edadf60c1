package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"mangopier.example/mangopier/internal/protocol/conf"
)

func addSettingsCommands(parser *flags.Parser) error {
	group, err := parser.AddCommand("settings", "Check settings", "Checks settings.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = group.AddCommand("check", "Check a settings file",
		"Checks a settings file and names the line and field of the first fault.", &settingsCheckCommand{})
	return err
}

type settingsCheckCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a settings file.
func (command *settingsCheckCommand) Execute([]string) error {
	settings, err := conf.Load(command.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("the settings of instance %s are valid\n", settings.Instance)
	return nil
}
