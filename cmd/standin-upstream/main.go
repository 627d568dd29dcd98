// Command standin-upstream runs a simulated upstream for the quickstart and for measurements.
package main

import (
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"pollenpaddle/internal/standin"
)

func main() {
	app := kingpin.New("standin-upstream", "Respond to tasks after the run time in their X-Run-Ms header.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:7500").String()
	speed := app.Flag("speed", "Divide run times by this factor.").Default("1").Float64()
	fault := app.Flag("fault", "Fault to inject: fail (status 500), hang (respond after 30 s), cut_body (body shorter than announced) or no_answer (close the connection after the task).").Enum("fail", "hang", "cut_body", "no_answer")
	share := app.Flag("fault-share", "Share of the tasks affected by the fault, 0 to 1.").Default("1").Float64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	listener, err := net.Listen("tcp", *listen)
	if err == nil {
		upstream := standin.NewUpstream(*speed)
		upstream.SetFault(standin.Fault(*fault), *share)
		err = upstream.Serve(listener)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-upstream:", err)
		os.Exit(1)
	}
}
