package commander

import "github.com/spf13/cobra"

func (c *Commander) newUndrainCmd() *cobra.Command {
	var platform string
	cmd := &cobra.Command{
		Use:     "undrain DOMAIN UPSTREAM",
		Short:   "Cancel the drain of an upstream",
		Long:    "Cancels the drain of an upstream, so that it receives new requests again. To cancel the drain of an instance, restart it.",
		Example: "  sardinetiller undrain a exit-llm-1 --platform 127.0.0.1:9000",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.setDrain(cmd.Context(), platform, args[0], args[1], false)
		},
	}
	addPlatformFlag(cmd, &platform)
	return cmd
}
