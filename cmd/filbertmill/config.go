package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
	"filbertmill.example/fleet/publish"
	"filbertmill.example/platform"
)

// changeTimeout limits the duration of one command on the store.
const changeTimeout = 30 * time.Second

// configCommand reads and changes the fleet configuration in the store.
type configCommand struct {
	Apply    *applyCommand    `arg:"subcommand:apply" help:"check a configuration and have it accepted"`
	Show     *showCommand     `arg:"subcommand:show" help:"print the newest or an earlier configuration"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"show what a file would change"`
	History  *historyCommand  `arg:"subcommand:history" help:"list the accepted changes, newest first"`
	Rollback *rollbackCommand `arg:"subcommand:rollback" help:"make an earlier configuration the newest"`
}

func (c *configCommand) run() int { return exitUsage }

// storeFlag holds the address of the store.
type storeFlag struct {
	Store string `arg:"--store,required,env:FILBERTMILL_STORE" placeholder:"URL" help:"the platform's store"`
}

// withPublisher runs a command on the store and returns the exit code.
func (f storeFlag) withPublisher(command func(ctx context.Context, p *publish.Publisher) error) int {
	c, err := platform.NewClientFromURL(f.Store)
	if err != nil {
		return report(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if err := command(ctx, &publish.Publisher{Store: c}); err != nil {
		return report(err)
	}
	return exitOK
}

// changeFlags name the author of a change, its reason, and a node of the fleet. The
// new revision is higher than all revisions in force that this node reports.
type changeFlags struct {
	Author string `arg:"--author,required,env:FILBERTMILL_AUTHOR" placeholder:"NAME" help:"who makes the change"`
	Note   string `arg:"--note" placeholder:"TEXT" help:"why the change is made"`
	Admin  string `arg:"--admin,env:FILBERTMILL_ADMIN" placeholder:"ADDRESS" help:"admin address of any node; the revision goes above those in force"`
}

// newestInForce returns the newest revision in force, 0 if no node is given.
func (f changeFlags) newestInForce(ctx context.Context) (int64, error) {
	if f.Admin == "" {
		return 0, nil
	}
	s, err := fleetStatus(ctx, f.Admin)
	return s.Newest.Revision, err
}

type applyCommand struct {
	storeFlag
	changeFlags
	File string `arg:"positional,required" placeholder:"FILE" help:"the configuration, in INI"`
	Base *int64 `arg:"--base" placeholder:"REVISION" help:"the revision that the file is based on; 0 for the first [default: as written by config show]"`
}

func (c *applyCommand) run() int {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return report(err)
	}
	base, text, err := baseOf(c.File, text, c.Base)
	if err != nil {
		return report(err)
	}
	return c.withPublisher(func(ctx context.Context, p *publish.Publisher) error {
		inForce, err := c.newestInForce(ctx)
		if err != nil {
			return err
		}
		return printAccepted(p.Apply(ctx, publish.Change{
			File: c.File, Text: text, Base: base, Author: c.Author, Note: c.Note, HighestInForce: inForce,
		}))
	})
}

func printAccepted(d fleet.Document, err error) error {
	if err == nil {
		fmt.Printf("revision %s accepted\n", d.Version)
	}
	return err
}

// baseLine matches the first line that config show writes. It names the revision on
// which an edited file is based.
var baseLine = regexp.MustCompile(`^; revision ([0-9]+) .*\r?\n`)

// formatBaseLine returns the line that baseLine matches.
func formatBaseLine(v fleet.Version) string {
	return fmt.Sprintf("; revision %d change %s\n", v.Revision, v.ChangeID)
}

// baseOf returns the revision on which a file is based, and the file's text with an
// empty line in place of the base line, so that problems name the right line.
func baseOf(file string, text []byte, flag *int64) (int64, []byte, error) {
	match := baseLine.FindSubmatch(text)
	if match != nil {
		text = append([]byte("\n"), text[len(match[0]):]...)
	}
	if flag != nil {
		return *flag, text, nil
	}
	if match == nil {
		return 0, nil, errors.Newf("%s:1: no line \"; revision N\" as config show writes it; name the base with --base", file)
	}
	base, err := strconv.ParseInt(string(match[1]), 10, 64)
	return base, text, errors.Wrapf(err, "%s:1", file)
}

type showCommand struct {
	storeFlag
	Revision int64 `arg:"--revision" placeholder:"REVISION" help:"an earlier revision [default: the newest]"`
}

func (c *showCommand) run() int {
	return c.withPublisher(func(ctx context.Context, p *publish.Publisher) error {
		d, err := documentOf(ctx, p, c.Revision)
		if err != nil {
			return err
		}
		fmt.Print(formatBaseLine(d.Version))
		_, err = os.Stdout.Write(bytes.TrimPrefix(d.Text, []byte("\n")))
		return err
	})
}

// documentOf returns the document of a revision, or the newest one if the revision
// is 0.
func documentOf(ctx context.Context, p *publish.Publisher, revision int64) (fleet.Document, error) {
	if revision != 0 {
		return p.Find(ctx, revision)
	}
	d, err := p.Current(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		err = errors.New("the store has no configuration yet; apply the first with --base 0")
	}
	return d, err
}

type diffCommand struct {
	storeFlag
	File     string `arg:"positional,required" placeholder:"FILE" help:"the configuration, in INI"`
	Revision int64  `arg:"--revision" placeholder:"REVISION" help:"compare with an earlier revision [default: the newest]"`
}

func (c *diffCommand) run() int {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return report(err)
	}
	return c.withPublisher(func(ctx context.Context, p *publish.Publisher) error {
		d, err := documentOf(ctx, p, c.Revision)
		if err != nil {
			return err
		}
		for _, difference := range publish.Diff(d.Text, text) {
			fmt.Println(difference)
		}
		return nil
	})
}

type historyCommand struct {
	storeFlag
	Limit int `arg:"-n,--limit" default:"20" placeholder:"N" help:"the most changes listed"`
}

func (c *historyCommand) run() int {
	return c.withPublisher(func(ctx context.Context, p *publish.Publisher) error {
		list, err := p.History(ctx, c.Limit)
		if err == nil {
			printHistory(os.Stdout, list)
		}
		return err
	})
}

func printHistory(out io.Writer, list []fleet.Document) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tNOTE")
	for _, d := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", d.Version.Revision, d.Time.Format(time.RFC3339), d.Author, d.Note)
	}
	_ = w.Flush()
}

type rollbackCommand struct {
	storeFlag
	changeFlags
	Revision int64 `arg:"positional,required" placeholder:"REVISION" help:"the revision to go back to"`
}

func (c *rollbackCommand) run() int {
	return c.withPublisher(func(ctx context.Context, p *publish.Publisher) error {
		inForce, err := c.newestInForce(ctx)
		if err != nil {
			return err
		}
		return printAccepted(p.Rollback(ctx, c.Revision, c.Author, c.Note, inForce))
	})
}
