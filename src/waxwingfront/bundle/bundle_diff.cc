#include "waxwingfront/bundle/bundle_diff.h"

#include <google/protobuf/util/message_differencer.h>

#include <map>
#include <sstream>
#include <utility>

namespace waxwingfront::bundle {
namespace {

using google::protobuf::Message;
using google::protobuf::util::MessageDifferencer;

// Returns the changed fields; lists of names are compared as sets.
std::vector<std::string> ChangedFields(const Message& before,
                                       const Message& after) {
  MessageDifferencer differencer;
  differencer.set_repeated_field_comparison(MessageDifferencer::AS_SET);
  std::string report;
  differencer.ReportDifferencesToString(&report);
  std::vector<std::string> fields;
  if (differencer.Compare(before, after)) return fields;
  std::istringstream lines(report);
  for (std::string line; std::getline(lines, line);) fields.push_back(line);
  return fields;
}

void AddIfChanged(const std::string& part, const std::string& name,
                  const Message& before, const Message& after,
                  std::vector<bundle_change>& changes) {
  std::vector<std::string> fields = ChangedFields(before, after);
  if (fields.empty()) return;
  changes.push_back({.kind = change_kind::kChanged,
                     .part = part,
                     .name = name,
                     .fields = std::move(fields)});
}

template <typename List>
void DiffLists(const std::string& part, const List& before, const List& after,
               std::vector<bundle_change>& changes) {
  std::map<std::string, const Message*> unmatched;
  for (const auto& item : before) unmatched.emplace(item.name(), &item);
  for (const auto& item : after) {
    const auto found = unmatched.find(item.name());
    if (found == unmatched.end()) {
      changes.push_back(
          {.kind = change_kind::kAdded, .part = part, .name = item.name()});
      continue;
    }
    AddIfChanged(part, item.name(), *found->second, item, changes);
    unmatched.erase(found);
  }
  for (const auto& [name, item] : unmatched) {
    changes.push_back(
        {.kind = change_kind::kRemoved, .part = part, .name = name});
  }
}

std::string_view KindName(change_kind kind) {
  switch (kind) {
    case change_kind::kAdded:
      return "added";
    case change_kind::kRemoved:
      return "removed";
    default:
      return "changed";
  }
}

}  // namespace

std::vector<bundle_change> DiffBundles(const schema::bundle& before,
                                       const schema::bundle& after) {
  std::vector<bundle_change> changes;
  if (before.site() != after.site()) {
    changes.push_back(
        {.part = "site", .fields = {before.site() + " -> " + after.site()}});
  }
  AddIfChanged("weights", "", before.weights(), after.weights(), changes);
  DiffLists("service", before.services(), after.services(), changes);
  DiffLists("batch class", before.batch_classes(), after.batch_classes(),
            changes);
  DiffLists("customer", before.customers(), after.customers(), changes);
  return changes;
}

std::string ToText(const std::vector<bundle_change>& changes) {
  if (changes.empty()) return "no change\n";
  std::ostringstream text;
  for (const bundle_change& change : changes) {
    text << KindName(change.kind) << " " << change.part;
    if (!change.name.empty()) text << " " << change.name;
    text << "\n";
    for (const std::string& field : change.fields)
      text << "    " << field << "\n";
  }
  return text.str();
}

}  // namespace waxwingfront::bundle
