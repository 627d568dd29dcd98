package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	platformFolder = "platform"
	platformImport = "pollenpaddle/platform"
	wordsFile      = "platform/words.go"
	// wiringFolder is the only folder outside platform that may import it.
	wiringFolder = "cmd/pollenpaddled"
)

// checkPlatform looks below root for uses of the platform outside its folder.
func checkPlatform(root string) ([]string, error) {
	words, err := platformWords(root)
	if err != nil {
		return nil, err
	}
	var violations []string
	err = filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if relative == platformFolder || strings.HasPrefix(entry.Name(), ".") && relative != "." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		found, err := checkWords(path, filepath.ToSlash(relative), words)
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

// platformWords returns the paths and headers of the platform, which no other package may hold.
func platformWords(root string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, wordsFile), nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var words []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		name := spec.Names[0].Name
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok && (strings.HasPrefix(name, "path") || strings.HasPrefix(name, "header")) {
			if word, err := strconv.Unquote(literal.Value); err == nil {
				words = append(words, word)
			}
		}
		return true
	})
	if len(words) == 0 {
		return nil, fmt.Errorf("%s holds no paths and headers", wordsFile)
	}
	return words, nil
}

func checkWords(path, relative string, words []string) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var violations []string
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			return true
		}
		if text == platformImport && filepath.ToSlash(filepath.Dir(relative)) != wiringFolder && relative != "tools/importcheck/platform.go" {
			violations = append(violations, fmt.Sprintf("%s: only the daemon's wiring may import %s", files.Position(literal.Pos()), platformImport))
		}
		for _, word := range words {
			if strings.Contains(text, word) {
				violations = append(violations, fmt.Sprintf("%s: %q belongs to the platform; only package platform may hold it", files.Position(literal.Pos()), word))
			}
		}
		return true
	})
	return violations, nil
}
