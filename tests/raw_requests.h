/// Raw requests in text files, see tests/requests/README.md.
#pragma once
#include <fstream>
#include <string>
#include <vector>

namespace robinhoist::tests {

/// A request as it stands in a file.
struct RawRequest {
  std::string name;
  std::string text;
};

inline std::string unescaped(const std::string& text) {
  constexpr int hexadecimal = 16;
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\') {
      bytes += text[i];
      continue;
    }
    const char escape = text.at(++i);
    if (escape == 'x') {
      bytes += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexadecimal));
      i += 2;
    } else if (escape == 'r' || escape == 'n' || escape == 't') {
      bytes += escape == 'r' ? '\r' : escape == 'n' ? '\n' : '\t';
    } else {
      bytes += escape;
    }
  }
  return bytes;
}

inline std::string replace_all(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
    text.replace(at, from.size(), to);
  return text;
}

/// Reads the requests of a file.
inline std::vector<RawRequest> read_requests(const std::string& file) {
  std::vector<RawRequest> requests;
  std::ifstream lines(file);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(": ");
    if (line.empty() || line[0] == '#')
      continue;
    requests.push_back({line.substr(0, colon), line.substr(colon + 2)});
  }
  return requests;
}

/// The bytes of a request with this id.
inline std::string with_id(const std::string& text, const std::string& id) {
  const std::string fields = "Host: x\\r\\nRequest-Id: {id}\\r\\nRequest-Timeout: 8000m\\r\\n";
  return unescaped(replace_all(replace_all(text, "{fields}", fields), "{id}", id));
}

inline std::string requests_file(const std::string& name) {
  return std::string(TESTS) + "/requests/" + name + ".txt";
}

}  // namespace robinhoist::tests
