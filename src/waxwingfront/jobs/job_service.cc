#include "waxwingfront/jobs/job_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "waxwingfront/core/hash.h"
#include "waxwingfront/jobs/job_check.h"
#include "waxwingfront/shard/shard_owner.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::jobs {
namespace {

std::string LocationKey(std::string_view job) {
  return "jobs/" + std::string(job);
}

// Returns the shard with the largest hash of job id and shard name (rendezvous
// hashing).
std::string ChooseShard(const std::set<std::string>& shards,
                        const std::string& job) {
  return *std::max_element(
      shards.begin(), shards.end(),
      [&job](const std::string& left, const std::string& right) {
        return core::Fnv1a(job + "|" + left) < core::Fnv1a(job + "|" + right);
      });
}

std::string RequestedShard(const schema::peer_request& request) {
  switch (request.call_case()) {
    case schema::peer_request::kSubmit:
      return request.submit().shard();
    case schema::peer_request::kStatus:
      return request.status().shard();
    case schema::peer_request::kCancel:
      return request.cancel().shard();
    default:
      return "";
  }
}

}  // namespace

job_service::job_service(job_service_options options,
                         const store::store_client& store)
    : options_(std::move(options)), store_(store) {}

core::result<std::string> job_service::Locate(std::string_view job) const {
  const auto stored = store_.Get(LocationKey(job));
  if (!stored)
    return core::Failure(core::error_code::kStoreUnavailable,
                         stored.error().detail);
  if (!stored->has_value()) {
    return core::Failure(core::error_code::kUnknownJob,
                         "no job " + std::string(job));
  }
  schema::job_location location;
  if (!location.ParseFromString((*stored)->value)) {
    return core::Failure(core::error_code::kProtocol,
                         "a job's location is damaged");
  }
  return location.shard();
}

core::result<std::set<std::string>> job_service::FindPlaceableShards(
    const schema::job_spec& spec) const {
  const auto policy = options_.policy();
  if (policy == nullptr) {
    return core::Failure(core::error_code::kNoBundle,
                         "no bundle is in force yet");
  }
  if (const auto checked = CheckJob(spec, *policy); !checked) {
    return tl::unexpected(checked.error());
  }
  const auto view = options_.hosts();
  if (view == nullptr) {
    return core::Failure(core::error_code::kNoOwner,
                         "the host list is not known yet");
  }
  return PlaceableShards(spec, *policy, *view);
}

core::result<std::string> job_service::LocateOrAssign(
    const std::string& job, const std::set<std::string>& shards) {
  schema::job_location location;
  location.set_shard(ChooseShard(shards, job));
  const auto written =
      store_.CreateIfAbsent(LocationKey(job), location.SerializeAsString());
  if (written && *written == store::write_outcome::kApplied)
    return location.shard();
  // The job already has a location, or the response was lost; reading resolves
  // both cases. The location alone does not accept the job, so a failure here
  // means that the job did not run.
  auto found = Locate(job);
  const bool absent =
      !found && found.error().code == core::error_code::kUnknownJob;
  if (absent && !written) {
    return core::Failure(core::error_code::kStoreUnavailable,
                         written.error().detail);
  }
  return found;
}

core::result<schema::job_status> job_service::SubmitToShard(
    const std::string& shard, schema::job_spec spec) {
  schema::peer_request request;
  request.mutable_submit()->set_shard(shard);
  *request.mutable_submit()->mutable_spec() = std::move(spec);
  return Route(shard, request);
}

core::result<schema::job_status> job_service::ResubmitAccepted(
    schema::job_spec spec, const core::error& rejection) {
  // Other errors either hold under any bundle, or do not reject the job.
  const bool may_have_been_accepted =
      rejection.code == core::error_code::kUnknownCustomer ||
      rejection.code == core::error_code::kUnknownBatchClass ||
      rejection.code == core::error_code::kUnplaceable;
  if (!may_have_been_accepted) return tl::unexpected(rejection);
  const auto status = Status(spec.id());
  if (!status) {
    const bool unknown = status.error().code == core::error_code::kUnknownJob;
    return tl::unexpected(unknown ? rejection : status.error());
  }
  const auto shard = Locate(spec.id());
  if (!shard) return tl::unexpected(shard.error());
  return SubmitToShard(*shard, std::move(spec));
}

core::result<schema::job_status> job_service::Submit(schema::job_spec spec) {
  if (spec.id().empty()) spec.set_id(core::RandomId());
  const auto shards = FindPlaceableShards(spec);
  if (!shards) return ResubmitAccepted(std::move(spec), shards.error());
  const auto shard = LocateOrAssign(spec.id(), *shards);
  if (!shard) return tl::unexpected(shard.error());
  return SubmitToShard(*shard, std::move(spec));
}

core::result<schema::job_status> job_service::Status(std::string_view job) {
  const auto shard = Locate(job);
  if (!shard) return tl::unexpected(shard.error());
  schema::peer_request request;
  request.mutable_status()->set_shard(*shard);
  request.mutable_status()->set_job(std::string(job));
  return Route(*shard, request);
}

core::result<schema::job_status> job_service::Cancel(std::string_view job) {
  const auto shard = Locate(job);
  if (!shard) return tl::unexpected(shard.error());
  schema::peer_request request;
  request.mutable_cancel()->set_shard(*shard);
  request.mutable_cancel()->set_job(std::string(job));
  return Route(*shard, request);
}

core::result<schema::job_status> job_service::Route(
    const std::string& shard, const schema::peer_request& request) {
  if (const auto owner = options_.local_owner(shard))
    return Execute(*owner, request);
  const auto address = options_.owner_address(shard);
  if (!address.has_value()) {
    return core::Failure(core::error_code::kNoOwner,
                         "shard " + shard + " has no owner now");
  }
  const auto response =
      options_.call_peer(*address, request, options_.operation_timeout);
  if (!response) return tl::unexpected(response.error());
  return response->status();
}

core::result<schema::job_status> job_service::Execute(
    shard::shard_owner& owner, const schema::peer_request& request) const {
  switch (request.call_case()) {
    case schema::peer_request::kSubmit:
      return owner.Submit(request.submit().spec(), options_.operation_timeout);
    case schema::peer_request::kStatus:
      return owner.Status(request.status().job(), options_.operation_timeout);
    case schema::peer_request::kCancel:
      return owner.Cancel(request.cancel().job(), options_.operation_timeout);
    default:
      return core::Failure(core::error_code::kProtocol,
                           "the request is not about a job");
  }
}

schema::peer_response job_service::HandlePeer(
    const schema::peer_request& request) {
  const std::string shard = RequestedShard(request);
  schema::peer_response response;
  const auto owner = options_.local_owner(shard);
  const core::result<schema::job_status> status =
      owner == nullptr ? core::Failure(core::error_code::kNoOwner,
                                       "shard " + shard + " is not owned here")
                       : Execute(*owner, request);
  if (status) {
    *response.mutable_status() = *status;
  } else {
    response.mutable_failure()->set_code(
        std::string(core::ErrorName(status.error().code)));
    response.mutable_failure()->set_detail(status.error().detail);
  }
  return response;
}

}  // namespace waxwingfront::jobs
