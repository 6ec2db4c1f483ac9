#include "ports/frame_link.h"

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fmt/core.h>
#include <netinet/tcp.h>
#include <boost/asio.hpp>

namespace hibiscus {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::chrono::milliseconds kAckInterval(200);  // Period of sending acks and of checking for timeouts.
constexpr std::chrono::milliseconds kAckTimeout(1000);  // A connection without an ack for this long is closed.
constexpr std::chrono::milliseconds kReconnectDelay(100);
// Of an incoming connection, whose sender may be idle for any time. It is closed when its sender no longer answers.
constexpr std::chrono::seconds kKeepAliveIdle(5);
constexpr std::chrono::seconds kKeepAliveInterval(1);
constexpr int kKeepAliveProbes = 5;
constexpr std::chrono::milliseconds kMaxUnacknowledged(10000);  // By the kernel of the sender, of what it was sent.
constexpr size_t kLengthBytes = 4;
constexpr size_t kAckBytes = 8;
constexpr size_t kReadBufferBytes = size_t{16} * 1024;       // Bytes per read.
constexpr size_t kMaxFrameBytes = size_t{8} * 1024 * 1024;   // A longer frame closes the connection.
constexpr size_t kMaxQueuedBytes = size_t{4} * 1024 * 1024;  // For each host; messages beyond it are dropped.

template <size_t Bytes>
void AppendNumber(std::string& text, uint64_t number) {
  for (size_t i = 0; i < Bytes; ++i) {
    text.push_back(static_cast<char>(number >> (8 * (Bytes - 1 - i)) & 0xff));
  }
}

template <size_t Bytes>
uint64_t ReadNumber(const char* bytes) {
  uint64_t number = 0;
  for (size_t i = 0; i < Bytes; ++i) {
    number = number << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return number;
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const unsigned long port =
      colon == std::string::npos ? 65536 : std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  if (error || port > 65535) {
    throw std::runtime_error(fmt::format("'{}' is not of the form ip:port", address));
  }
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveProbes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// A sender whose connection goes silent opens another one and does not close this one. Closing idle connections instead
// would lose what is sent meanwhile.
void KeepAlive(tcp::socket& socket) {
  boost::system::error_code ignored;  // Without it the connection stays open.
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepAliveIdle(static_cast<int>(kKeepAliveIdle.count())), ignored);
  socket.set_option(KeepAliveInterval(static_cast<int>(kKeepAliveInterval.count())), ignored);
  socket.set_option(KeepAliveProbes(kKeepAliveProbes), ignored);
  // There are no probes while an ack of ours is under way.
  socket.set_option(UserTimeout(static_cast<int>(kMaxUnacknowledged.count())), ignored);
}

// A connection opened by another host.
class IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(tcp::socket socket, const FrameLink::Receiver& receiver)
      : socket_(std::move(socket)), receiver_(receiver) {
    KeepAlive(socket_);
  }

  void Read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](const boost::system::error_code& error, size_t size) {
                              if (error || !self->ProcessChunk(size)) {
                                self->Close();
                                return;
                              }
                              self->Read();
                            });
  }

  // Acknowledges the total number of bytes received so far.
  void SendAck() {
    if (ack_in_flight_ || acked_bytes_ == received_bytes_ || !socket_.is_open()) {
      return;
    }
    ack_in_flight_ = true;
    acked_bytes_ = received_bytes_;
    ack_.clear();
    AppendNumber<kAckBytes>(ack_, received_bytes_);
    asio::async_write(socket_, asio::buffer(ack_),
                      [self = shared_from_this()](const boost::system::error_code& error, size_t /*size*/) {
                        self->ack_in_flight_ = false;
                        if (error) {
                          self->Close();
                        }
                      });
  }

  void Close() {
    boost::system::error_code ignored;  // Closing a closed socket has no effect.
    socket_.close(ignored);
  }
  bool open() const { return socket_.is_open(); }

 private:
  // Delivers the complete messages of the last read. False if a frame exceeds the limit.
  bool ProcessChunk(size_t size) {
    received_bytes_ += size;
    pending_.append(chunk_.data(), size);
    size_t offset = 0;
    while (pending_.size() - offset >= kLengthBytes) {
      const size_t length = ReadNumber<kLengthBytes>(pending_.data() + offset);
      if (length > kMaxFrameBytes) {
        return false;
      }
      if (pending_.size() - offset - kLengthBytes < length) {
        break;
      }
      receiver_(pending_.substr(offset + kLengthBytes, length));
      offset += kLengthBytes + length;
    }
    pending_.erase(0, offset);
    return true;
  }

  tcp::socket socket_;
  const FrameLink::Receiver& receiver_;
  std::array<char, kReadBufferBytes> chunk_{};
  std::string pending_;  // Bytes received, not yet a complete frame.
  uint64_t received_bytes_ = 0;
  uint64_t acked_bytes_ = 0;
  bool ack_in_flight_ = false;
  std::string ack_;
};

// The connection to one host; reconnects when it breaks.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(asio::io_context& io, const std::string& address, std::atomic<uint64_t>& lost)
      : socket_(io), endpoint_(ParseEndpoint(address)), lost_(lost) {}

  void Send(const std::vector<std::string>& messages) {
    for (const std::string& message : messages) {
      if (queue_.size() + message.size() > kMaxQueuedBytes) {
        ++lost_;
        continue;
      }
      AppendNumber<kLengthBytes>(queue_, message.size());
      queue_ += message;
      ++queued_messages_;
    }
    if (queued_messages_ > 0 && waiting_since_ == SteadyTime{}) {
      waiting_since_ = std::chrono::steady_clock::now();
    }
    ConnectOrWrite();
  }

  // Closes a connection that did not open or acknowledge in time, and drops its queue. Called every kAckInterval.
  void CheckTimeout() {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (waiting_since_ != SteadyTime{} && now - waiting_since_ > kAckTimeout) {
      // Otherwise the kernel goes on delivering, and old messages arrive after those of the next connection.
      boost::system::error_code ignored;  // The socket may be closed.
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      Disconnect();
      DropQueued();
    }
    ConnectOrWrite();
  }

  void Disconnect() {
    boost::system::error_code ignored;  // Closing a closed socket has no effect.
    socket_.close(ignored);
    ++connection_number_;
    phase_ = Phase::kClosed;
    lost_ += writing_messages_ + unacked_messages_;
    writing_messages_ = unacked_messages_ = 0;
    sent_bytes_ = acked_bytes_ = 0;
    reconnect_at_ = std::chrono::steady_clock::now() + kReconnectDelay;
  }

 private:
  enum class Phase { kClosed, kConnecting, kOpen, kWriting };

  // Wraps a completion handler: ignores completions of operations on earlier connections.
  template <class Handler>
  auto ForCurrentConnection(Handler handler) {
    return [self = shared_from_this(), connection_number = connection_number_,
            handler = std::move(handler)](auto... values) {
      if (connection_number == self->connection_number_) {
        handler(values...);
      }
    };
  }

  // Counts the queued messages as lost: they have waited for too long.
  void DropQueued() {
    lost_ += queued_messages_;
    queued_messages_ = 0;
    queue_.clear();
    waiting_since_ = SteadyTime{};
  }

  void ConnectOrWrite() {
    if (queued_messages_ == 0) {
      return;
    }
    if (phase_ == Phase::kClosed && std::chrono::steady_clock::now() >= reconnect_at_) {
      Connect();
    } else if (phase_ == Phase::kOpen) {
      Write();
    }
  }

  void Connect() {
    phase_ = Phase::kConnecting;
    socket_ = tcp::socket(socket_.get_executor());
    socket_.async_connect(endpoint_, ForCurrentConnection([this](const boost::system::error_code& error) {
                            if (error) {
                              Disconnect();
                              return;
                            }
                            boost::system::error_code ignored;  // Without TCP_NODELAY messages are only delayed.
                            socket_.set_option(tcp::no_delay(true), ignored);
                            phase_ = Phase::kOpen;
                            ReadAck();
                            ConnectOrWrite();
                          }));
  }

  void Write() {
    phase_ = Phase::kWriting;
    write_buffer_.swap(queue_);
    queue_.clear();
    writing_messages_ = std::exchange(queued_messages_, 0);
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      ForCurrentConnection([this](const boost::system::error_code& error, size_t size) {
                        if (error) {
                          Disconnect();
                          return;
                        }
                        sent_bytes_ += size;
                        unacked_messages_ += std::exchange(writing_messages_, 0);
                        phase_ = Phase::kOpen;
                        ClearWaitIfAllAcked();
                        ConnectOrWrite();
                      }));
  }

  void ReadAck() {
    asio::async_read(socket_, asio::buffer(ack_),
                     ForCurrentConnection([this](const boost::system::error_code& error, size_t /*size*/) {
                       if (error) {
                         Disconnect();
                         return;
                       }
                       acked_bytes_ = ReadNumber<kAckBytes>(ack_.data());
                       waiting_since_ = std::chrono::steady_clock::now();
                       ClearWaitIfAllAcked();
                       ReadAck();
                     }));
  }

  void ClearWaitIfAllAcked() {
    if (acked_bytes_ == sent_bytes_ && writing_messages_ == 0) {
      unacked_messages_ = 0;
      waiting_since_ = queued_messages_ == 0 ? SteadyTime{} : waiting_since_;
    }
  }

  tcp::socket socket_;
  const tcp::endpoint endpoint_;
  std::atomic<uint64_t>& lost_;
  Phase phase_ = Phase::kClosed;
  uint64_t connection_number_ = 0;  // Incremented for each connection.
  std::string queue_;               // Framed messages to be written.
  uint64_t queued_messages_ = 0;    // Messages in queue_.
  std::string write_buffer_;        // Being written.
  uint64_t writing_messages_ = 0;   // Messages in write_buffer_.
  uint64_t unacked_messages_ = 0;   // Messages sent since everything was last acknowledged.
  uint64_t sent_bytes_ = 0;         // On this connection.
  uint64_t acked_bytes_ = 0;        // On this connection.
  std::array<char, kAckBytes> ack_{};
  SteadyTime waiting_since_{};  // Start of the wait for a connection or an ack; zero if none.
  SteadyTime reconnect_at_{};
};

}  // namespace

class FrameLink::State {
 public:
  State(const std::string& address, Receiver receiver)
      : receiver_(std::move(receiver)), acceptor_(io_), tick_timer_(io_) {
    const tcp::endpoint endpoint = ParseEndpoint(address);
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error(fmt::format("cannot listen on {}: {}", address, error.what()));
    }
    Accept();
    ScheduleTick();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~State() {
    io_.stop();
    thread_.join();
  }

  void Send(const std::string& address, std::vector<std::string> messages) {
    asio::post(io_, [this, address, messages = std::move(messages)] {
      std::shared_ptr<OutgoingConnection>& link = outgoing_[address];
      if (link == nullptr) {
        link = std::make_shared<OutgoingConnection>(io_, address, lost_);
      }
      link->Send(messages);
    });
  }

  uint64_t lost() const { return lost_; }
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (!error) {
        incoming_.push_back(std::make_shared<IncomingConnection>(std::move(socket), receiver_));
        incoming_.back()->Read();
      }
      Accept();
    });
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kAckInterval);
    tick_timer_.async_wait([this](const boost::system::error_code& /*error*/) {
      std::erase_if(incoming_, [](const auto& incoming) { return !incoming->open(); });
      for (const auto& incoming : incoming_) {
        incoming->SendAck();
      }
      for (const auto& [address, link] : outgoing_) {
        link->CheckTimeout();
      }
      ScheduleTick();
    });
  }

  const Receiver receiver_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  asio::steady_timer tick_timer_;
  std::vector<std::shared_ptr<IncomingConnection>> incoming_;
  std::map<std::string, std::shared_ptr<OutgoingConnection>> outgoing_;
  std::atomic<uint64_t> lost_{0};
  std::thread thread_;
};

FrameLink::FrameLink(const std::string& address, Receiver receiver)
    : state_(std::make_unique<State>(address, std::move(receiver))) {}

FrameLink::~FrameLink() = default;

void FrameLink::Send(const std::string& address, std::vector<std::string> messages) {
  state_->Send(address, std::move(messages));
}

uint64_t FrameLink::lost() const {
  return state_->lost();
}

int FrameLink::port() const {
  return state_->port();
}

}  // namespace hibiscus
