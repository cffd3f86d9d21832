#include "faults/floods.h"

#include <string>

namespace robinhoist::faults {
namespace {

std::string look(const std::string& path, const std::string& id) {
  return "GET /" + path + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Timeout: 8000m\r\n\r\n";
}

std::string repeated(const std::string& text, int times) {
  std::string all;
  for (int i = 0; i < times; ++i)
    all += text;
  return all;
}

}  // namespace

const std::vector<Flood>& floods() {
  static const std::vector<Flood> all = {
      {"bytes_that_are_no_http", false, [](int) { return std::string(65536, 'x'); }},
      {"lines_that_are_no_http", false, [](int) { return repeated("what is this\r\n\r\n", 4000); }},
      {"empty_lines", false, [](int) { return repeated("\r\n", 32768); }},
      {"readiness_checks", false,
       [](int) { return repeated("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 2000); }},
      {"readiness_checks_with_new_fields", false,
       [](int number) {
         std::string requests;
         for (int i = 0; i < 500; ++i)
           requests += "GET /up?" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\nX-" +
                       std::to_string(number) + "-" + std::to_string(i) + ": a\r\n\r\n";
         return requests;
       }},
      {"unknown_classes", false,
       [](int number) {
         std::string requests;
         for (int i = 0; i < 200; ++i) {
           const std::string name = std::to_string(number) + "-" + std::to_string(i);
           requests += look("class-" + name, "id-" + name);
         }
         return requests;
       }},
      {"sound_requests_with_new_names", true, [](int number) {
         std::string requests;
         for (int i = 0; i < 200; ++i) {
           const std::string name = std::to_string(number) + "-" + std::to_string(i);
           requests += look("look/" + name, "id-" + name);
         }
         return requests;
       }}};
  return all;
}

}  // namespace robinhoist::faults
