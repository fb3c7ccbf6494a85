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

  void Join(std::int64_t strength) {
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
        if (!self->closed) self->Join(strength);
      });
    });
  }

  void ReadStrongest(const std::string& after, std::int64_t strongest,
                     std::function<void(std::int64_t)> done) {
    store.range(
        kStrengthsPrefix, after,
        [self = shared_from_this(), strongest,
         done = std::move(done)](const core::result<store_page>& page) {
          if (self->closed) return;
          std::int64_t most = strongest;
          if (page) {
            const std::string own =
                std::string(kStrengthsPrefix) + self->address;
            for (const store_item& item : page->items) {
              schema::fleet_strength record;
              if (item.key != own && record.ParseFromString(item.value)) {
                most = std::max(most, record.strength());
              }
            }
            if (page->has_more) {
              self->ReadStrongest(page->items.back().key, most, done);
              return;
            }
          }
          done(most);
        });
  }

  void Refresh(int started) {
    if (closed || round != started) return;
    store.range(kMembersPrefix, "",
                [self = shared_from_this(),
                 started](const core::result<store_page>& page) {
                  if (self->closed || self->round != started) return;
                  if (page) {
                    self->members.clear();
                    for (const store_item& item : page->items) {
                      if (item.value != self->address)
                        self->members.push_back(item.value);
                    }
                  }
                  if (!self->announcing) self->Announce(started);
                  if (page) {
                    self->AwaitMembers(started, page->at);
                  } else {
                    self->RefreshLater(started);
                  }
                });
  }

  // A process that has just joined may be the one that should lead.
  void AwaitMembers(int started, std::int64_t after) {
    store.watch(kMembersPrefix, after, options.refresh,
                [self = shared_from_this(),
                 started](const core::result<store_changes>&) {
                  self->RefreshLater(started);
                });
  }

  void RefreshLater(int started) {
    loop.After(options.retry, [self = shared_from_this(), started] {
      self->Refresh(started);
    });
  }

  void Announce(int started) {
    if (closed || round != started) return;
    announcing = true;
    schema::fleet_leadership news;
    news.set_token(token);
    news.set_address(address);
    news.set_strongest(hooks.strongest());
    const std::string body = news.SerializeAsString();
    const core::monotonic_time asked = core::Now();
    for (const std::string& member : members) {
      Tell(member, body,
           [self = shared_from_this(), started, member,
            asked](const core::result<net::http_reply>& reply) {
             if (self->closed || self->round != started) return;
             schema::fleet_standing standing;
             if (reply && reply->status == net::kHttpOk &&
                 standing.ParseFromString(reply->body)) {
               self->hooks.on_answer(member, standing, asked);
             }
           });
    }
    loop.After(options.period, [self = shared_from_this(), started] {
      self->Announce(started);
    });
  }

  void Tell(const std::string& member, const std::string& body,
            net::async_http_client::callback done) {
    client.Send({.address = member,
                 .method = "POST",
                 .target = std::string(kAnnouncePath),
                 .body = body,
                 .timeout = options.timeout,
                 .total_timeout = options.timeout},
                std::move(done));
  }

  void HandOver(const std::string& successor, std::function<void()> told) {
    schema::fleet_leadership news;
    news.set_token(token);
    news.set_address(address);
    news.set_successor(successor);
    const std::string body = news.SerializeAsString();
    auto once = std::make_shared<std::function<void()>>(std::move(told));
    auto open = std::make_shared<std::size_t>(members.size());
    const auto finish = [self = shared_from_this(), once] {
      if (!self->closed && *once) std::exchange(*once, nullptr)();
    };
    for (const std::string& member : members) {
      Tell(member, body, [finish, open](const core::result<net::http_reply>&) {
        if (--*open == 0) finish();
      });
    }
    loop.After(options.handover, finish);
  }

  net::event_loop& loop;
  net::async_http_client& client;
  const store_services& store;
  std::string address;
  leader_announcer_options options;
  leader_announcer_hooks hooks;
  std::vector<std::string> members;
  std::int64_t token = 0;
  int round = 0;
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

void leader_announcer::Join(std::int64_t strength) {
  internal_->Join(strength);
}

void leader_announcer::ReadStrongest(
    std::function<void(std::int64_t strength)> done) {
  internal_->ReadStrongest("", 0, std::move(done));
}

void leader_announcer::Start(std::int64_t token) {
  internal_->token = token;
  internal_->announcing = false;
  internal_->Refresh(++internal_->round);
}

void leader_announcer::Stop() { ++internal_->round; }

void leader_announcer::HandOver(const std::string& successor,
                                std::function<void()> told) {
  internal_->HandOver(successor, std::move(told));
}

}  // namespace waxwingfront::fleet
