// Command measure runs the measures of internal/rpmeasure and writes them as
// JSON to the standard output.
//
// # Usage
//
//	go run ./internal/rpmeasure/measure [NAME-PREFIX [SEEDS]]
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmeasure"
)

func main() {
	prefix, seeds := "", 5
	if len(os.Args) > 1 {
		prefix = os.Args[1]
	}
	if len(os.Args) > 2 {
		seeds, _ = strconv.Atoi(os.Args[2])
	}
	var results []*rpmeasure.Case
	for _, c := range rpmeasure.Cases() {
		if strings.HasPrefix(c.Measure, prefix) {
			c.Run(seeds)
			results = append(results, c)
			fmt.Fprintln(os.Stderr, c.Measure, c.Deployment, c.Policy, c.Median)
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(results); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
