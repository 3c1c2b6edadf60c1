// Command mangopier serves language models and their companion services.
package main

import "os"

func main() {
	os.Exit(1)
}
