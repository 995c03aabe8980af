// Each name of tests/data/outer_names.txt is still in a string literal of the sources, or a key of
// the deploy file: a rename inside the program must not change what clients, workers, peers,
// operators and stored data see.
#include <gtest/gtest.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

const fs::path kRoot = MILLETHOLLOW_SOURCE_ROOT;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool IsSource(const fs::path& path) {
  return path.extension() == ".cpp" || path.extension() == ".h";
}

// Where a quoted literal that begins at `begin` ends: at its closing quote or the end of the text.
std::size_t EndOfQuoted(const std::string& text, std::size_t begin) {
  const char quote = text[begin];
  std::size_t end = begin + 1;
  while (end < text.size() && text[end] != quote) end += text[end] == '\\' ? 2 : 1;
  return end;
}

std::size_t EndOfLine(const std::string& text, std::size_t begin) {
  const std::size_t end = text.find('\n', begin);
  return end == std::string::npos ? text.size() : end;
}

bool IsDigitSeparator(const std::string& text, std::size_t at) {
  return text[at] == '\'' && at > 0 && std::isxdigit(static_cast<unsigned char>(text[at - 1])) != 0;
}

// Adds the string literals of a source as they are spelled in it; includes and comments are
// skipped.
void CollectLiterals(const std::string& text, std::set<std::string>* literals) {
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text.compare(at, 2, "//") == 0 || text.compare(at, 8, "#include") == 0) {
      at = EndOfLine(text, at);
    } else if (text[at] == '"') {
      const std::size_t end = EndOfQuoted(text, at);
      literals->insert(text.substr(at + 1, end - at - 1));
      at = end;
    } else if (text[at] == '\'' && !IsDigitSeparator(text, at)) {
      at = EndOfQuoted(text, at);
    }
  }
}

std::set<std::string> LiteralsOfSources() {
  std::set<std::string> literals;
  for (const char* folder : {"src", "include", "bench", "examples"}) {
    for (const fs::directory_entry& entry : fs::recursive_directory_iterator(kRoot / folder)) {
      if (IsSource(entry.path())) CollectLiterals(ReadFile(entry.path()), &literals);
    }
  }
  return literals;
}

// Keys at the start of a line of the deploy file.
std::set<std::string> KeysOfDeployFile() {
  std::set<std::string> keys;
  std::ifstream file(kRoot / "deploy" / "balancer.toml");
  for (std::string line; std::getline(file, line);) keys.insert(line.substr(0, line.find(' ')));
  return keys;
}

bool IsWordCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

// Does `name` stand in `literal` as a word of its own, not as a piece of a longer one?
bool HoldsWord(const std::string& literal, const std::string& name) {
  for (std::size_t at = literal.find(name); at != std::string::npos;
       at = literal.find(name, at + 1)) {
    const std::size_t end = at + name.size();
    const bool starts = at == 0 || !IsWordCharacter(literal[at - 1]) ||
                        !IsWordCharacter(name.front()) ||
                        (at > 1 && literal[at - 2] == '\\');  // after an escape such as \n
    const bool ends =
        end == literal.size() || !IsWordCharacter(literal[end]) || !IsWordCharacter(name.back());
    if (starts && ends) return true;
  }
  return false;
}

bool IsKept(const std::string& name, const std::set<std::string>& literals) {
  if (literals.contains(name)) return true;
  for (const std::string& literal : literals) {
    if (HoldsWord(literal, name)) return true;
  }
  return false;
}

std::vector<std::string> OuterNames() {
  std::vector<std::string> names;
  std::ifstream file(kRoot / "tests" / "data" / "outer_names.txt");
  for (std::string line; std::getline(file, line);) {
    if (!line.empty() && line.front() != '#') names.push_back(line);
  }
  return names;
}

TEST(OuterNames, AreStillInTheSources) {
  const std::set<std::string> literals = LiteralsOfSources();
  const std::set<std::string> deploy_keys = KeysOfDeployFile();
  const std::vector<std::string> names = OuterNames();
  ASSERT_GT(names.size(), 800U);
  for (const std::string& name : names) {
    EXPECT_TRUE(IsKept(name, literals) || deploy_keys.contains(name))
        << "no source has '" << name << "' any more";
  }
}

TEST(OuterNames, SearchFindsWholeWordsOnly) {
  EXPECT_TRUE(HoldsWord(" reason=", "reason="));
  EXPECT_TRUE(HoldsWord("cluster lease={} epoch={}", "cluster lease"));
  EXPECT_FALSE(HoldsWord("max_out", "out"));
  EXPECT_FALSE(HoldsWord("workers", "worker"));
}

}  // namespace
