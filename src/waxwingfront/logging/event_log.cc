#include "waxwingfront/logging/event_log.h"

#include <poll.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>

#include "waxwingfront/core/unix_time.h"

namespace waxwingfront::logging {
namespace {

// Calls the hooks around a piece of work.
class measured_work {
 public:
  explicit measured_work(const event_log& log) : log_(log) {
    if (log_.on_work_begin) log_.on_work_begin();
  }
  measured_work(const measured_work&) = delete;
  measured_work& operator=(const measured_work&) = delete;
  ~measured_work() {
    if (log_.on_work_end) log_.on_work_end();
  }

 private:
  const event_log& log_;
};

}  // namespace

void event_log::Write(std::string_view event,
                      std::initializer_list<event_field> fields,
                      line_priority priority) {
  Write(event, std::span(fields.begin(), fields.size()), priority);
}

void event_log::Write(std::string_view event,
                      std::span<const event_field> fields,
                      line_priority priority) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const measured_work work(*this);
  if (on_event) on_event(event);
  event_usage& used = UsageOf(event);
  const std::int64_t second = core::UnixMs() / kMsPerSecond;
  if (used.second != second) {
    used.second = second;
    used.lines = 0;
    used.urgent_lines = 0;
  }
  const bool urgent = priority == line_priority::kUrgent;
  if (Admit(used, urgent)) {
    Append(event, fields);
    return;
  }
  ++used.dropped;
  if (urgent) ++used.dropped_urgent;
  ++dropped_total_;
  drops_pending_ = true;
}

event_log::event_usage& event_log::UsageOf(std::string_view event) {
  auto found = usage_.find(event);
  if (found == usage_.end()) {
    found = usage_.emplace(std::string(event), event_usage{}).first;
  }
  return found->second;
}

bool event_log::Admit(event_usage& used, bool urgent) const {
  if (urgent) {
    return buffer_.size() <
               options_.max_buffer_bytes + options_.urgent_buffer_bytes &&
           ++used.urgent_lines <= options_.max_urgent_lines_per_second;
  }
  return buffer_.size() < options_.max_buffer_bytes &&
         ++used.lines <= options_.max_lines_per_second;
}

void event_log::Append(std::string_view event,
                       std::span<const event_field> fields) {
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

void event_log::ReportDrops() {
  for (auto& [event, used] : usage_) {
    if (used.dropped == 0) continue;
    if (buffer_.size() >= options_.max_buffer_bytes) return;
    const std::array<event_field, 3> fields{{{"of", event},
                                             {"lines", used.dropped},
                                             {"urgent", used.dropped_urgent}}};
    Append("log_dropped", fields);
    used.dropped = 0;
    used.dropped_urgent = 0;
  }
  drops_pending_ = false;
}

void event_log::Flush() {
  const measured_work work(*this);
  if (drops_pending_) ReportDrops();
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
