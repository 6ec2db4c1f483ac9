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
#include <boost/asio.hpp>

namespace hibiscus {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::chrono::milliseconds kRound(200);      // Receipts go out, and silence is looked for, so often.
constexpr std::chrono::milliseconds kPatience(1000);  // Without a receipt, a connection counts as broken.
constexpr std::chrono::milliseconds kConnectAgain(100);
constexpr size_t kLengthBytes = 4;
constexpr size_t kReceiptBytes = 8;
constexpr size_t kReadBytes = size_t{16} * 1024;         // Taken from a connection at once.
constexpr size_t kMostFrame = size_t{8} * 1024 * 1024;   // Bytes; a longer one ends the connection.
constexpr size_t kMostQueued = size_t{4} * 1024 * 1024;  // Bytes that wait for one host; more is dropped.

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

tcp::endpoint EndpointOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const unsigned long port =
      colon == std::string::npos ? 65536 : std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  if (error || port > 65535) {
    throw std::runtime_error(fmt::format("'{}' is no ip:port", address));
  }
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

// One connection that another host opened.
class Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(tcp::socket socket, const FrameLink::Receiver& receiver) : socket_(std::move(socket)), receiver_(receiver) {}

  void Read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](const boost::system::error_code& error, size_t size) {
                              if (error || !self->Take(size)) {
                                self->Close();
                                return;
                              }
                              self->Read();
                            });
  }

  // Tells the sender how much has arrived.
  void SendReceipt() {
    if (receipt_under_way_ || receipted_ == received_ || !socket_.is_open()) {
      return;
    }
    receipt_under_way_ = true;
    receipted_ = received_;
    receipt_.clear();
    AppendNumber<kReceiptBytes>(receipt_, received_);
    asio::async_write(socket_, asio::buffer(receipt_),
                      [self = shared_from_this()](const boost::system::error_code& error, size_t /*size*/) {
                        self->receipt_under_way_ = false;
                        if (error) {
                          self->Close();
                        }
                      });
  }

  void Close() {
    boost::system::error_code ignored;  // Closing what is closed already changes nothing.
    socket_.close(ignored);
  }
  bool open() const { return socket_.is_open(); }

 private:
  // False if what came is no message.
  bool Take(size_t size) {
    received_ += size;
    pending_.append(chunk_.data(), size);
    size_t at = 0;
    while (pending_.size() - at >= kLengthBytes) {
      const size_t length = ReadNumber<kLengthBytes>(pending_.data() + at);
      if (length > kMostFrame) {
        return false;
      }
      if (pending_.size() - at - kLengthBytes < length) {
        break;
      }
      receiver_(pending_.substr(at + kLengthBytes, length));
      at += kLengthBytes + length;
    }
    pending_.erase(0, at);
    return true;
  }

  tcp::socket socket_;
  const FrameLink::Receiver& receiver_;
  std::array<char, kReadBytes> chunk_{};
  std::string pending_;  // The beginning of a message.
  uint64_t received_ = 0;
  uint64_t receipted_ = 0;
  bool receipt_under_way_ = false;
  std::string receipt_;
};

// The connection to one host, made anew when it breaks.
class Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(asio::io_context& io, const std::string& address, std::atomic<uint64_t>& lost)
      : socket_(io), endpoint_(EndpointOf(address)), lost_(lost) {}

  void Send(const std::vector<std::string>& messages) {
    for (const std::string& message : messages) {
      if (queue_.size() + message.size() > kMostQueued) {
        ++lost_;
        continue;
      }
      AppendNumber<kLengthBytes>(queue_, message.size());
      queue_ += message;
      ++queued_;
    }
    if (queued_ > 0 && waiting_since_ == SteadyTime{}) {
      waiting_since_ = std::chrono::steady_clock::now();
    }
    Go();
  }

  // A few times a second.
  void Look() {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (waiting_since_ != SteadyTime{} && now - waiting_since_ > kPatience) {
      Break();
      Drop();
    }
    Go();
  }

  void Break() {
    boost::system::error_code ignored;  // Closing what is closed already changes nothing.
    socket_.close(ignored);
    ++connection_;
    phase_ = Phase::kClosed;
    lost_ += writing_ + unreceipted_;
    writing_ = unreceipted_ = 0;
    sent_ = receipted_ = 0;
    again_at_ = std::chrono::steady_clock::now() + kConnectAgain;
  }

 private:
  enum class Phase { kClosed, kConnecting, kOpen, kWriting };

  // Drops the word of a connection that is not the present one.
  template <class Work>
  auto Guarded(Work work) {
    return [self = shared_from_this(), connection = connection_, work = std::move(work)](auto... values) {
      if (connection == self->connection_) {
        work(values...);
      }
    };
  }

  // What waits has waited for too long.
  void Drop() {
    lost_ += queued_;
    queued_ = 0;
    queue_.clear();
    waiting_since_ = SteadyTime{};
  }

  void Go() {
    if (queued_ == 0) {
      return;
    }
    if (phase_ == Phase::kClosed && std::chrono::steady_clock::now() >= again_at_) {
      Connect();
    } else if (phase_ == Phase::kOpen) {
      Write();
    }
  }

  void Connect() {
    phase_ = Phase::kConnecting;
    socket_ = tcp::socket(socket_.get_executor());
    socket_.async_connect(endpoint_, Guarded([this](const boost::system::error_code& error) {
                            if (error) {
                              Break();
                              return;
                            }
                            boost::system::error_code ignored;  // Without it messages are later, not lost.
                            socket_.set_option(tcp::no_delay(true), ignored);
                            phase_ = Phase::kOpen;
                            ReadReceipt();
                            Go();
                          }));
  }

  void Write() {
    phase_ = Phase::kWriting;
    written_.swap(queue_);
    queue_.clear();
    writing_ = std::exchange(queued_, 0);
    asio::async_write(socket_, asio::buffer(written_),
                      Guarded([this](const boost::system::error_code& error, size_t size) {
                        if (error) {
                          Break();
                          return;
                        }
                        sent_ += size;
                        unreceipted_ += std::exchange(writing_, 0);
                        phase_ = Phase::kOpen;
                        StopWaitingIfDone();
                        Go();
                      }));
  }

  void ReadReceipt() {
    asio::async_read(socket_, asio::buffer(receipt_),
                     Guarded([this](const boost::system::error_code& error, size_t /*size*/) {
                       if (error) {
                         Break();
                         return;
                       }
                       receipted_ = ReadNumber<kReceiptBytes>(receipt_.data());
                       waiting_since_ = std::chrono::steady_clock::now();
                       StopWaitingIfDone();
                       ReadReceipt();
                     }));
  }

  void StopWaitingIfDone() {
    if (receipted_ == sent_ && writing_ == 0) {
      unreceipted_ = 0;
      waiting_since_ = queued_ == 0 ? SteadyTime{} : waiting_since_;
    }
  }

  tcp::socket socket_;
  const tcp::endpoint endpoint_;
  std::atomic<uint64_t>& lost_;
  Phase phase_ = Phase::kClosed;
  uint64_t connection_ = 0;   // Counts them.
  std::string queue_;         // Framed messages that wait for the connection.
  uint64_t queued_ = 0;       // Messages in it.
  std::string written_;       // On its way into the connection.
  uint64_t writing_ = 0;      // Messages in it.
  uint64_t unreceipted_ = 0;  // Messages sent since all was last receipted.
  uint64_t sent_ = 0;         // Bytes.
  uint64_t receipted_ = 0;    // Bytes.
  std::array<char, kReceiptBytes> receipt_{};
  SteadyTime waiting_since_{};  // For a connection or a receipt; none: for nothing.
  SteadyTime again_at_{};
};

}  // namespace

class FrameLink::State {
 public:
  State(const std::string& address, Receiver receiver) : receiver_(std::move(receiver)), acceptor_(io_), round_(io_) {
    const tcp::endpoint endpoint = EndpointOf(address);
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error(fmt::format("cannot listen on {}: {}", address, error.what()));
    }
    Accept();
    Round();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~State() {
    io_.stop();
    thread_.join();
  }

  void Send(const std::string& address, std::vector<std::string> messages) {
    asio::post(io_, [this, address, messages = std::move(messages)] {
      std::shared_ptr<Outgoing>& link = outgoing_[address];
      if (link == nullptr) {
        link = std::make_shared<Outgoing>(io_, address, lost_);
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
        incoming_.push_back(std::make_shared<Incoming>(std::move(socket), receiver_));
        incoming_.back()->Read();
      }
      Accept();
    });
  }

  void Round() {
    round_.expires_after(kRound);
    round_.async_wait([this](const boost::system::error_code& /*error*/) {
      std::erase_if(incoming_, [](const auto& each) { return !each->open(); });
      for (const auto& each : incoming_) {
        each->SendReceipt();
      }
      for (const auto& [address, link] : outgoing_) {
        link->Look();
      }
      Round();
    });
  }

  const Receiver receiver_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  asio::steady_timer round_;
  std::vector<std::shared_ptr<Incoming>> incoming_;
  std::map<std::string, std::shared_ptr<Outgoing>> outgoing_;
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
