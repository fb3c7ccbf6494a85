#include "waxwingfront/fleet/leader_announcer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::fleet {
struct leader_announcer::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, net::async_http_client& http,
           const store_services& services, std::string own_address,
           leader_announcer_options chosen, leader_announcer_hooks callbacks)
      : loop(event_loop),
        client(http),
        store(services),
        address(std::move(own_address)),
        options(chosen),
        hooks(std::move(callbacks)) {}

  void Register(std::int64_t strength) {
    schema::fleet_strength record;
    record.set_strength(strength);
    store_write entry;
    entry.put.push_back({.key = std::string(kStrengthsPrefix) + address,
                         .value = record.SerializeAsString(),
                         .lease = 0});
    entry.put.push_back({.key = std::string(kMembersPrefix) + address,
                         .value = address,
                         .lease = 0});
    store.write(entry, [self = shared_from_this(),
                        strength](const store_write_reply& reply) {
      if (self->closed || reply.status == store_write_status::kApplied) return;
      self->loop.After(self->options.retry, [self, strength] {
        if (!self->closed) self->Register(strength);
      });
    });
  }

  void ReadStrongest(const std::string& after, std::int64_t strongest,
                     std::function<void(std::optional<std::int64_t>)> done) {
    store.range(kStrengthsPrefix, after,
                [self = shared_from_this(), after, strongest,
                 done = std::move(done)](const core::result<store_page>& page) {
                  if (self->closed) return;
                  if (!page) {
                    done(std::nullopt);
                    self->loop.After(
                        self->options.retry, [self, after, strongest, done] {
                          if (!self->closed)
                            self->ReadStrongest(after, strongest, done);
                        });
                    return;
                  }
                  std::int64_t highest = strongest;
                  const std::string own =
                      std::string(kStrengthsPrefix) + self->address;
                  for (const store_item& item : page->items) {
                    schema::fleet_strength record;
                    if (item.key != own && record.ParseFromString(item.value)) {
                      highest = std::max(highest, record.strength());
                    }
                  }
                  if (page->has_more) {
                    self->ReadStrongest(page->LastKey(), highest, done);
                    return;
                  }
                  done(highest);
                });
  }

  void Refresh(int current) { ReadMembers(current, "", {}, 0); }

  // Reads the members after the key `after`; `found` are those before it, and
  // `first_revision` is that of the first page.
  void ReadMembers(int current, const std::string& after,
                   std::vector<std::string> found,
                   std::int64_t first_revision) {
    if (closed || generation != current) return;
    store.range(kMembersPrefix, after,
                [self = shared_from_this(), current, found = std::move(found),
                 first_revision](const core::result<store_page>& page) mutable {
                  if (self->closed || self->generation != current) return;
                  self->OnMembers(current, std::move(found), first_revision,
                                  page);
                });
  }

  void OnMembers(int current, std::vector<std::string> found,
                 std::int64_t first_revision,
                 const core::result<store_page>& page) {
    if (page) {
      if (first_revision == 0) first_revision = page->at;
      for (const store_item& item : page->items) {
        if (item.value != address) found.push_back(item.value);
      }
      if (page->has_more) {
        ReadMembers(current, page->LastKey(), std::move(found), first_revision);
        return;
      }
      members = std::move(found);
    }
    if (!announcing) Announce(current);
    if (page) {
      WatchMembers(current, first_revision);
    } else {
      RefreshLater(current);
    }
  }

  // A process that has just registered may be the one that should lead.
  void WatchMembers(int current, std::int64_t after) {
    store.watch(kMembersPrefix, after, options.watch_timeout,
                [self = shared_from_this(),
                 current](const core::result<store_changes>&) {
                  self->RefreshLater(current);
                });
  }

  void RefreshLater(int current) {
    loop.After(options.retry, [self = shared_from_this(), current] {
      self->Refresh(current);
    });
  }

  void Announce(int current) {
    if (closed || generation != current) return;
    announcing = true;
    AnnounceOnce(current);
    loop.After(options.period, [self = shared_from_this(), current] {
      self->Announce(current);
    });
  }

  void AnnounceOnce(int current) {
    schema::fleet_leadership announcement;
    announcement.set_token(token);
    announcement.set_address(address);
    announcement.set_strongest(hooks.strongest());
    if (hooks.on_round) hooks.on_round(members.size());
    if (generation != current) return;
    const std::string body = announcement.SerializeAsString();
    const core::monotonic_time sent = core::Now();
    for (const std::string& member : members) {
      PostTo(member, body,
             [self = shared_from_this(), current, member,
              sent](const core::result<net::http_reply>& reply) {
               if (self->closed || self->generation != current) return;
               schema::fleet_standing status;
               if (reply && reply->status == net::kHttpOk &&
                   status.ParseFromString(reply->body)) {
                 self->hooks.on_member_status(member, status, sent);
               }
             });
    }
  }

  void PostTo(const std::string& member, const std::string& body,
              net::async_http_client::callback done) {
    client.Send({.address = member,
                 .method = "POST",
                 .target = std::string(kAnnouncePath),
                 .body = body,
                 .timeout = options.timeout,
                 .total_timeout = options.timeout},
                std::move(done));
  }

  net::event_loop& loop;
  net::async_http_client& client;
  const store_services& store;
  std::string address;
  leader_announcer_options options;
  leader_announcer_hooks hooks;
  std::vector<std::string> members;
  std::int64_t token = 0;
  int generation = 0;
  bool announcing = false;
  bool closed = false;
};

leader_announcer::leader_announcer(net::event_loop& loop,
                                   net::async_http_client& client,
                                   const store_services& store,
                                   std::string address,
                                   leader_announcer_options options,
                                   leader_announcer_hooks hooks)
    : internal_(std::make_shared<internal>(
          loop, client, store, std::move(address), options, std::move(hooks))) {
}

leader_announcer::~leader_announcer() { internal_->closed = true; }

void leader_announcer::Register(std::int64_t strength) {
  internal_->Register(strength);
}

void leader_announcer::ReadStrongest(
    std::function<void(std::optional<std::int64_t> strength)> done) {
  internal_->ReadStrongest("", 0, std::move(done));
}

void leader_announcer::Start(std::int64_t token) {
  internal_->token = token;
  internal_->announcing = false;
  internal_->Refresh(++internal_->generation);
}

void leader_announcer::Stop() {
  ++internal_->generation;
  internal_->announcing = false;
}

void leader_announcer::AnnounceNow() {
  if (internal_->announcing) internal_->AnnounceOnce(internal_->generation);
}

}  // namespace waxwingfront::fleet
