#include "waxwingfront/fleet/processor_stages.h"

#include <ctime>
#include <utility>

namespace waxwingfront::fleet {
namespace {

constexpr std::array<std::string_view, kProcessorStages> kNames = {
    "other",         "round",          "visits",       "reserve",
    "starts",        "start_response", "other_orders", "hold",
    "report_decode", "report",         "store_write",  "store_response",
    "store_read",    "logging",        "callers",      "processes",
    "tick"};

}  // namespace

std::string_view StageName(processor_stage stage) {
  return kNames.at(static_cast<std::size_t>(stage));
}

std::chrono::nanoseconds ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

processor_stages::processor_stages(clock thread_time)
    : clock_(std::move(thread_time)), charged_until_(clock_()) {}

const processor_stages::usages& processor_stages::Totals() {
  Charge();
  return usages_;
}

void processor_stages::Charge() {
  const std::chrono::nanoseconds now = clock_();
  UsageOf(current_).time += now - charged_until_;
  charged_until_ = now;
}

void processor_stages::Enter(processor_stage stage) {
  Charge();
  if (stage != current_) ++UsageOf(stage).count;
  current_ = stage;
}

processor_scope::processor_scope(processor_stages* stages,
                                 processor_stage stage)
    : stages_(stages) {
  if (stages_ == nullptr) return;
  outer_ = stages_->current_;
  stages_->Enter(stage);
}

processor_scope::~processor_scope() {
  if (stages_ == nullptr) return;
  stages_->Charge();
  stages_->current_ = outer_;
}

void processor_scope::SwitchTo(processor_stage stage) {
  if (stages_ != nullptr) stages_->Enter(stage);
}

}  // namespace waxwingfront::fleet
