#include "ports/byte_link.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <fmt/core.h>
#include <grpcpp/grpcpp.h>

#include "peer.grpc.pb.h"

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kDeliveryTimeout(1000);
constexpr int kMaxBackoffMs = 500;  // Reconnecting must be faster than the failure detector.

class Service final : public peer::Peer::CallbackService {
 public:
  explicit Service(ByteLink::Receiver receiver) : receiver_(std::move(receiver)) {}

  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* context,
                                    const peer::Batch* batch,
                                    peer::Received* /*received*/) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    for (const std::string& bytes : batch->messages()) {
      if (std::string problem = receiver_(batch->from(), bytes); !problem.empty()) {
        reactor->Finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, problem));
        return reactor;
      }
    }
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  ByteLink::Receiver receiver_;
};

// The channel to one address. It is replaced when a call times out and no response at all has come since that call was
// sent: after a network cut the transport can keep a dead connection open.
struct OutgoingChannel {
  std::shared_ptr<peer::Peer::Stub> stub;  // Null: the next call creates a channel.
  uint64_t channels_created = 0;           // Channels created so far.
  uint64_t responses = 0;                  // Responses received on any of them.
};

// The state of one Deliver call until it completes.
struct DeliverCall {
  std::string address;
  uint64_t channel_number = 0;  // OutgoingChannel::channels_created and ::responses when the call was sent.
  uint64_t responses = 0;
  std::shared_ptr<peer::Peer::Stub> stub;
  grpc::ClientContext context;
  peer::Batch batch;
  peer::Received received;
};

std::shared_ptr<peer::Peer::Stub> MakeStub(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMaxBackoffMs / 5);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxBackoffMs / 5);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // A new channel must not share the old one's connection.
  return peer::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

}  // namespace

struct ByteLink::State {
  explicit State(Receiver receiver) : service(std::move(receiver)) {}

  HostName self;
  Service service;
  std::unique_ptr<grpc::Server> server;
  int port = 0;
  std::mutex mutex;
  std::map<std::string, OutgoingChannel> outgoing_channels;  // By address.
  std::atomic<int> calls_in_flight{0};                       // Calls not completed yet.
  std::atomic<uint64_t> lost{0};

  void StartCall(DeliverCall& call);
  void FinishCall(const DeliverCall& call, const grpc::Status& status);
};

void ByteLink::State::StartCall(DeliverCall& call) {
  const std::lock_guard lock(mutex);
  OutgoingChannel& outgoing_channel = outgoing_channels[call.address];
  if (outgoing_channel.stub == nullptr) {
    outgoing_channel.stub = MakeStub(call.address);
    ++outgoing_channel.channels_created;
  }
  call.stub = outgoing_channel.stub;
  call.channel_number = outgoing_channel.channels_created;
  call.responses = outgoing_channel.responses;
}

void ByteLink::State::FinishCall(const DeliverCall& call, const grpc::Status& status) {
  lost += status.ok() ? 0 : 1;
  const std::lock_guard lock(mutex);
  OutgoingChannel& outgoing_channel = outgoing_channels[call.address];
  if (status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
    outgoing_channel.responses += status.error_code() == grpc::StatusCode::UNAVAILABLE ? 0 : 1;
  } else if (outgoing_channel.channels_created == call.channel_number && outgoing_channel.responses == call.responses) {
    outgoing_channel.stub = nullptr;
  }
}

ByteLink::ByteLink(HostName self, const std::string& address, Receiver receiver)
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

ByteLink::~ByteLink() {
  state_->server->Shutdown(std::chrono::system_clock::now());
  while (state_->calls_in_flight.load() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void ByteLink::Send(const std::string& address, std::vector<std::string> messages) {
  auto call = std::make_shared<DeliverCall>();
  call->address = address;
  call->batch.set_from(state_->self);
  for (std::string& message : messages) {
    call->batch.add_messages(std::move(message));
  }
  call->context.set_deadline(std::chrono::system_clock::now() + kDeliveryTimeout);
  // A restarted peer's messages can arrive before this side has reconnected to it: replies wait for the connection.
  call->context.set_wait_for_ready(true);
  ++state_->calls_in_flight;
  State* state = state_.get();
  state->StartCall(*call);
  call->stub->async()->Deliver(&call->context, &call->batch, &call->received,
                               [call, state](const grpc::Status& status) {
                                 state->FinishCall(*call, status);
                                 --state->calls_in_flight;
                               });
}

uint64_t ByteLink::lost() const {
  return state_->lost;
}

int ByteLink::port() const {
  return state_->port;
}

}  // namespace hibiscus
