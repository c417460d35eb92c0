package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/replica/inspect"
)

// backupMode makes backups readable for their owner only, because they contain documents
// and recorded results.
const backupMode = 0o600

// registerState adds the commands for the data folder of a stopped state replica.
func registerState(a *app) {
	group := a.group("state", "check, show, back up and restore the data folder of a stopped state replica")
	registerStateVerify(a, group)
	registerStateDump(a, group)
	registerStateSnapshot(a, group)
	registerStateRestore(a, group)
}

// openFolder opens an existing folder. wal.NewFS would create a missing one, and a
// mistyped path would look like an empty replica.
func openFolder(path string) (wal.FS, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &usageError{message: err.Error()}
	}
	if !info.IsDir() {
		return nil, &usageError{message: path + " is not a folder"}
	}
	return wal.NewFS(path)
}

// readFolder opens a folder that no daemon uses and holds its lock while read runs.
func readFolder(path string, read func(wal.FS) error) error {
	fs, err := openFolder(path)
	if err != nil {
		return err
	}
	lock, err := fs.Lock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	return read(fs)
}

func registerStateVerify(a *app, group *flaggy.Subcommand) {
	var folder string
	var asJSON bool
	sub := a.add(group, "verify", "check every record and checksum without changing anything", []string{
		"boragelead state verify /var/lib/boragelead",
		"boragelead state verify --json /var/lib/boragelead",
	}, func(context.Context) error {
		return readFolder(folder, func(fs wal.FS) error {
			report, err := inspect.Verify(fs)
			if err != nil {
				return err
			}
			if asJSON {
				return a.printJSON(report)
			}
			a.printState(folder, report)
			return nil
		})
	})
	sub.AddPositionalValue(&folder, "folder", 1, true, "data folder of a stopped daemon")
	sub.Bool(&asJSON, "j", "json", "print JSON")
}

func (a *app) printState(folder string, r *inspect.Report) {
	a.printf("%s is intact: replica %x of cluster %x\n", folder, uint64(r.Replica), r.Cluster)
	a.printf("%d records in %d segments, %d torn bytes\n", r.Records, r.Segments, r.TornBytes)
	a.printf("term %d, snapshot at %d, committed to %d, last entry %d\n", r.Term, r.SnapshotIndex, r.Commit, r.Last)
	for _, m := range r.Config.Voters {
		a.printf("voter %x at %s\n", uint64(m.ID), m.Address)
	}
	for _, m := range r.Config.Learners {
		a.printf("learner %x at %s\n", uint64(m.ID), m.Address)
	}
}

func registerStateDump(a *app, group *flaggy.Subcommand) {
	var folder string
	sub := a.add(group, "dump", "print the committed state as JSON without changing anything", []string{
		"boragelead state dump /var/lib/boragelead",
	}, func(context.Context) error {
		return readFolder(folder, func(fs wal.FS) error {
			dump, err := inspect.Dump(fs)
			if err != nil {
				return err
			}
			a.printf("%s\n", dump)
			return a.noteUncommitted(fs)
		})
	})
	sub.AddPositionalValue(&folder, "folder", 1, true, "data folder of a stopped daemon")
}

func registerStateSnapshot(a *app, group *flaggy.Subcommand) {
	var folder, file string
	sub := a.add(group, "snapshot", "write the committed state to a backup file", []string{
		"boragelead state snapshot /var/lib/boragelead backup.snapshot",
	}, func(context.Context) error {
		return readFolder(folder, func(fs wal.FS) error {
			data, err := inspect.Backup(fs)
			if err != nil {
				return err
			}
			if err := writeNewFile(file, data); err != nil {
				return err
			}
			a.printf("%s holds the committed state of %s, %d bytes\n", file, folder, len(data))
			return a.noteUncommitted(fs)
		})
	})
	sub.AddPositionalValue(&folder, "folder", 1, true, "data folder of a stopped daemon")
	sub.AddPositionalValue(&file, "file", 2, true, "backup file to write; it must not exist")
}

// noteUncommitted prints which log entries dump and snapshot leave out. The stored commit
// index can be behind the true one, also after a regular stop, so acknowledged changes
// can be among them.
func (a *app) noteUncommitted(fs wal.FS) error {
	report, err := inspect.Verify(fs)
	if err == nil && report.Last > report.Commit {
		a.note("left out: entries %d to %d, which this replica does not know to be committed", report.Commit+1, report.Last)
	}
	return err
}

// writeNewFile creates, writes and syncs a file. It fails if the file exists.
func writeNewFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, backupMode)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func registerStateRestore(a *app, group *flaggy.Subcommand) {
	var from, to, address, confirmation string
	sub := a.add(group, "restore-from-majority-loss", "make a one-voter cluster from the folder of a surviving replica", []string{
		"boragelead state restore-from-majority-loss --address 10.0.1.11:8082 OLD NEW",
		"boragelead state restore-from-majority-loss --address 10.0.1.11:8082 --confirm lose-majority-of-... OLD NEW",
	}, func(context.Context) error {
		if address == "" {
			return &usageError{message: "--address is required: the address for daemons on the VM that will use the new folder"}
		}
		source, err := openFolder(from)
		if err != nil {
			return err
		}
		if confirmation == "" {
			return confirmationRequired(source)
		}
		target, err := wal.NewFS(to)
		if err != nil {
			return err
		}
		report, err := inspect.RestoreAfterMajorityLoss(source, target, address, confirmation)
		if err != nil {
			return err
		}
		a.printState(to, report)
		return nil
	})
	sub.AddPositionalValue(&from, "old", 1, true, "data folder of the surviving replica; it is not changed")
	sub.AddPositionalValue(&to, "new", 2, true, "data folder to write; it must be empty")
	sub.String(&address, "", "address", "address for daemons of the new replica, IP:port")
	sub.String(&confirmation, "", "confirm", "confirmation value, which the command prints when run without this flag")
}

// confirmationRequired returns the error that states the value to confirm a restore with.
// It creates nothing.
func confirmationRequired(fs wal.FS) error {
	report, err := inspect.Verify(fs)
	if err != nil {
		return err
	}
	return &inspect.ConfirmationError{Want: inspect.Confirmation(report)}
}
