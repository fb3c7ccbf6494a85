// A `waxwingfront platform` process with a settings file of its own.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_PLATFORM_PROCESS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_PLATFORM_PROCESS_H_

#include <memory>
#include <string>
#include <string_view>

#include "support/child_process.h"

namespace waxwingfront::tests {

class platform_process {
 public:
  // Writes the settings file, with `more_settings` at its end, and starts
  // nothing. Nothing listens on the store's address.
  explicit platform_process(const std::string& more_settings = "",
                            const std::string& store_address = "127.0.0.1:1");
  ~platform_process();

  // Starts the program directly, or as the last command of a shell after
  // `shell_prefix`.
  void Start(const std::string& shell_prefix = "");
  void WriteSettings(std::string_view text) const;

  child_process& Process() { return *process_; }
  // Reads output until a line of `event` comes; false at the end of output.
  bool AwaitEvent(std::string_view event) const;

  const std::string& Settings() const { return settings_; }
  const std::string& Path() const { return path_; }
  const std::string& Front() const { return front_; }
  const std::string& Readiness() const { return readiness_; }
  const std::string& Internal() const { return internal_; }

 private:
  std::string path_ = "/tmp/waxwingfront-node-XXXXXX";
  std::string front_;
  std::string readiness_;
  std::string internal_;
  std::string settings_;
  std::unique_ptr<child_process> process_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_PLATFORM_PROCESS_H_
