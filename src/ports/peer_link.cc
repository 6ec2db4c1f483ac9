#include "ports/peer_link.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <fmt/core.h>
#include <grpcpp/grpcpp.h>

#include "peer.grpc.pb.h"
#include "ports/peer_codec.h"

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kDeliveryTimeout(1000);
constexpr int kMostBackoffMs = 500;  // Reconnects must be quicker than the failure detector.

class Service final : public peer::Peer::CallbackService {
 public:
  explicit Service(PeerLink::Receiver receiver) : receiver_(std::move(receiver)) {}

  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* context,
                                    const peer::Batch* batch,
                                    peer::Received* /*received*/) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    for (const std::string& bytes : batch->messages()) {
      tl::expected<PeerMessage, std::string> message = DecodePeerMessage(bytes);
      if (!message) {
        reactor->Finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, message.error()));
        return reactor;
      }
      receiver_(batch->from(), std::move(*message));
    }
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  PeerLink::Receiver receiver_;
};

// What one delivery needs until it is over.
struct Delivering {
  grpc::ClientContext context;
  peer::Batch batch;
  peer::Received received;
};

}  // namespace

struct PeerLink::State {
  explicit State(Receiver receiver) : service(std::move(receiver)) {}

  HostName self;
  Service service;
  std::unique_ptr<grpc::Server> server;
  int port = 0;
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<peer::Peer::Stub>> stubs;  // By address.
  std::atomic<int> out{0};                                         // Deliveries not over yet.
  std::atomic<uint64_t> lost{0};

  peer::Peer::Stub& StubOf(const std::string& address);
};

peer::Peer::Stub& PeerLink::State::StubOf(const std::string& address) {
  const std::lock_guard lock(mutex);
  std::unique_ptr<peer::Peer::Stub>& stub = stubs[address];
  if (stub == nullptr) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMostBackoffMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMostBackoffMs / 5);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMostBackoffMs / 5);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    stub = peer::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
  }
  return *stub;
}

PeerLink::PeerLink(HostName self, const std::string& address, Receiver receiver)
    : state_(std::make_unique<State>(std::move(receiver))) {
  state_->self = std::move(self);
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &state_->port);
  builder.RegisterService(&state_->service);
  state_->server = builder.BuildAndStart();
  if (state_->server == nullptr || state_->port == 0) {
    throw std::runtime_error(fmt::format("cannot listen on {}", address));
  }
}

PeerLink::~PeerLink() {
  state_->server->Shutdown(std::chrono::system_clock::now());
  while (state_->out.load() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

std::vector<size_t> PeerLink::Send(const std::string& address, const std::vector<PeerMessage>& messages) {
  auto delivering = std::make_shared<Delivering>();
  delivering->batch.set_from(state_->self);
  std::vector<size_t> sizes;
  for (const PeerMessage& message : messages) {
    std::string* bytes = delivering->batch.add_messages();
    *bytes = EncodePeerMessage(message);
    sizes.push_back(bytes->size());
  }
  delivering->context.set_deadline(std::chrono::system_clock::now() + kDeliveryTimeout);
  delivering->context.set_wait_for_ready(true);  // A peer that just came is heard before this side has connected again.
  ++state_->out;
  State* state = state_.get();
  state_->StubOf(address).async()->Deliver(&delivering->context, &delivering->batch, &delivering->received,
                                           [delivering, state](const grpc::Status& status) {
                                             state->lost += status.ok() ? 0 : 1;
                                             --state->out;
                                           });
  return sizes;
}

uint64_t PeerLink::lost() const {
  return state_->lost;
}

int PeerLink::port() const {
  return state_->port;
}

}  // namespace hibiscus
