#include "support/platform_process.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <vector>

namespace waxwingfront::tests {

platform_process::platform_process(const std::string& more_settings,
                                   const std::string& store_address)
    : front_(FreeAddress()),
      readiness_(FreeAddress()),
      internal_(FreeAddress()) {
  close(mkstemp(path_.data()));
  const std::string port = internal_.substr(internal_.find(':') + 1);
  settings_ = "node_name=front-1\nzone=north\nlisten.front=" + front_ +
              "\nlisten.readiness=" + readiness_ +
              "\nip_address=127.0.0.1\ninternal_port_range=" + port + "," +
              port + "\nplatform.address=" + store_address +
              "\nbounds.grace_s=6\n" + more_settings;
  WriteSettings(settings_);
}

platform_process::~platform_process() {
  process_.reset();
  std::remove(path_.c_str());
}

void platform_process::Start(const std::string& shell_prefix) {
  if (shell_prefix.empty()) {
    process_ = std::make_unique<child_process>(
        WAXWINGFRONT_PROGRAM,
        std::vector<std::string>{"platform", "--settings", path_});
    return;
  }
  process_ = std::make_unique<child_process>(
      "/bin/sh", std::vector<std::string>{
                     "-c", shell_prefix + " exec '" + WAXWINGFRONT_PROGRAM +
                               "' platform --settings " + path_});
}

void platform_process::WriteSettings(std::string_view text) const {
  std::ofstream(path_, std::ios::trunc) << text;
}

bool platform_process::AwaitEvent(std::string_view event) const {
  const std::string field = "\"event\":\"" + std::string(event) + "\"";
  for (std::string line = process_->ReadLine(); !line.empty();
       line = process_->ReadLine()) {
    if (line.find(field) != std::string::npos) return true;
  }
  return false;
}

}  // namespace waxwingfront::tests
