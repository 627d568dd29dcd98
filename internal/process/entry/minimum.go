package entry

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/claim"
)

// minimumFile stores, from a clean stop until the next start, the claim minimum: the submission time
// up to which claims may have been granted.
const minimumFile = "claim-minimum.json"

// storedMinimum is the content of minimumFile. While the process runs, Clean is false, so that a
// start after a crash finds no usable minimum.
type storedMinimum struct {
	Clean   bool  `json:"clean"`
	Minimum int64 `json:"minimum"` // milliseconds since the Unix epoch
}

// newRegistrar returns the registrar of this incarnation. A process that is the only control member
// continues from its stored claim minimum; without a file, no earlier incarnation can have granted a
// claim.
func (e *Entry) newRegistrar() (*claim.Registrar, error) {
	config := claim.RegistrarConfig{Self: e.self, Retention: e.config.ClaimRetention}
	if e.config.ClaimMinimumFolder != "" {
		stored, err := readMinimum(e.config.ClaimMinimumFolder)
		if err != nil {
			return nil, err
		}
		config.HasMinimum, config.Minimum = stored.Clean, stored.Minimum
		if err := writeMinimum(e.config.ClaimMinimumFolder, storedMinimum{}); err != nil {
			return nil, err
		}
	}
	return claim.NewRegistrar(config), nil
}

// storeMinimum records a clean stop. It must be called after the end of the loop, when no more claims are
// granted.
func (e *Entry) storeMinimum() error {
	if e.config.ClaimMinimumFolder == "" {
		return nil
	}
	return writeMinimum(e.config.ClaimMinimumFolder, storedMinimum{Clean: true, Minimum: e.registrar.Minimum()})
}

func readMinimum(folder string) (storedMinimum, error) {
	path := filepath.Join(folder, minimumFile)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return storedMinimum{Clean: true}, nil
	}
	if err != nil {
		return storedMinimum{}, failure.New(failure.Unavailable, "make the file readable", "cannot read %s: %v", path, err)
	}
	var stored storedMinimum
	if err := json.Unmarshal(content, &stored); err != nil {
		// A damaged file is treated like a crash: the registrar waits for claim.GrantDelay before it grants
		// claims.
		return storedMinimum{}, nil
	}
	return stored, nil
}

// writeMinimum replaces the file and returns when the new content is durable.
func writeMinimum(folder string, stored storedMinimum) error {
	path := filepath.Join(folder, minimumFile)
	if err := replaceFile(folder, path, stored); err != nil {
		return failure.New(failure.Unavailable, "check the permissions and the free space of data_folder", "cannot write %s: %v", path, err)
	}
	return nil
}

func replaceFile(folder, path string, stored storedMinimum) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	content, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err = errors.CombineErrors(err, file.Sync()); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	openFolder, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(openFolder.Sync(), openFolder.Close())
}
