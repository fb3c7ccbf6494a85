#include "waxwingfront/logging/event_log.h"

#include <poll.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

#include "waxwingfront/core/unix_time.h"

namespace waxwingfront::logging {
void event_log::Write(std::string_view event,
                      std::initializer_list<event_field> fields) {
  constexpr std::int64_t kMsPerSecond = 1000;
  if (on_event) on_event(event);
  if (!Admit(event, core::UnixMs() / kMsPerSecond)) {
    ++dropped_;
    ++dropped_total_;
    return;
  }
  Append(event, fields);
}

bool event_log::Admit(std::string_view event, std::int64_t second) {
  if (buffer_.size() >= options_.max_buffer_bytes) return false;
  auto found = rates_.find(event);
  if (found == rates_.end()) {
    found = rates_.emplace(std::string(event), line_rate{}).first;
  }
  line_rate& used = found->second;
  if (used.second != second) used = {.second = second, .lines = 0};
  return ++used.lines <= options_.max_lines_per_second;
}

void event_log::Append(std::string_view event,
                       std::initializer_list<event_field> fields) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  const auto add_string = [&writer](std::string_view content) {
    writer.String(content.data(),
                  static_cast<rapidjson::SizeType>(content.size()));
  };
  writer.StartObject();
  writer.Key("time_ms");
  writer.Int64(core::UnixMs());
  writer.Key("node");
  add_string(node_);
  writer.Key("event");
  add_string(event);
  for (const event_field& field : fields) {
    writer.Key(field.name.data(),
               static_cast<rapidjson::SizeType>(field.name.size()));
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
      writer.Int64(*number);
    } else {
      add_string(std::get<std::string_view>(field.value));
    }
  }
  writer.EndObject();
  buffer_.append(text.GetString(), text.GetSize());
  buffer_.push_back('\n');
}

void event_log::Flush() {
  if (dropped_ > 0 && buffer_.size() < options_.max_buffer_bytes) {
    Append("log_dropped", {{"lines", static_cast<std::int64_t>(dropped_)}});
    dropped_ = 0;
  }
  std::size_t written = 0;
  while (written < buffer_.size()) {
    pollfd ready{.fd = options_.descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    // A pipe that is ready accepts this many bytes without blocking.
    const std::size_t chunk =
        std::min<std::size_t>(PIPE_BUF, buffer_.size() - written);
    const ssize_t accepted =
        write(options_.descriptor, buffer_.data() + written, chunk);
    if (accepted <= 0) break;
    written += static_cast<std::size_t>(accepted);
  }
  buffer_.erase(0, written);
}

}  // namespace waxwingfront::logging
