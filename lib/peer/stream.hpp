/// \file
/// gRPC's side of the streams. Its threads only queue reports and wake the loop; streams are read,
/// written and ended from the loop's thread.
#pragma once

#include "peer.grpc.pb.h"
#include "ragwortcove/http/loop.hpp"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

namespace ragwortcove::peer {

/// Number of a stream within one transport.
using stream_id = std::uint64_t;

class outbound_stream;
class inbound_stream;

/// A peer has opened a stream.
struct stream_accepted {
    stream_id stream = 0;
    inbound_stream* call = nullptr;
};
struct envelope_read {
    stream_id stream = 0;
    std::unique_ptr<wire::Envelope> value;
};
/// An envelope has been handed to the connection.
struct envelope_written {
    stream_id stream = 0;
};
/// The stream is over or broken; it must be ended.
struct stream_over {
    stream_id stream = 0;
};
using stream_report = std::variant<stream_accepted, envelope_read, envelope_written, stream_over>;

/// Where gRPC's threads leave reports, and the count of streams that gRPC still holds.
class report_queue {
public:
    /// Calls `wake` from any thread when the queue is no longer empty.
    explicit report_queue(std::function<void()> wake);

    /// Counts a stream in; its number, or zero once closed.
    [[nodiscard]] stream_id enter();
    /// Counts a stream out.
    void leave();
    void push(stream_report&& report);
    [[nodiscard]] std::vector<stream_report> take();
    /// Takes no more streams.
    void close();
    /// Blocks until gRPC holds no stream.
    void wait_until_empty();

private:
    std::function<void()> wake_loop;
    std::mutex mutex;
    std::condition_variable emptied;
    std::vector<stream_report> reports;
    stream_id last_stream = 0;
    std::size_t held = 0;
    bool closed = false;
};

/// A stream that this node opened. Deletes itself when gRPC is done with it.
class outbound_stream final : public grpc::ClientBidiReactor<wire::Envelope, wire::Envelope> {
public:
    outbound_stream(stream_id number, std::shared_ptr<report_queue> reports,
                    const std::shared_ptr<grpc::Channel>& channel);

    void start();
    void read() { this->StartRead(&this->incoming); }
    void write(wire::Envelope&& value);
    /// Last call on a stream that the peer is finishing.
    void finish() { this->RemoveHold(); }
    /// Last call on the stream, at any time.
    void end();

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    stream_id id;
    std::shared_ptr<report_queue> queue;
    std::unique_ptr<wire::Peer::Stub> stub;
    grpc::ClientContext context;
    wire::Envelope incoming;
    wire::Envelope outgoing;
};

/// A stream that a peer opened. Deletes itself when gRPC is done with it.
class inbound_stream final : public grpc::ServerBidiReactor<wire::Envelope, wire::Envelope> {
public:
    inbound_stream(stream_id number, std::shared_ptr<report_queue> reports,
                   grpc::CallbackServerContext& call_context);

    void read() { this->StartRead(&this->incoming); }
    void write(wire::Envelope&& value);
    /// Last call on the stream, when nothing is being written.
    void finish();
    /// Last call on the stream, at any time.
    void end();

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

private:
    stream_id id;
    std::shared_ptr<report_queue> queue;
    grpc::CallbackServerContext& context;
    wire::Envelope incoming;
    wire::Envelope outgoing;
};

/// Accepts the peers' streams.
class stream_service final : public wire::Peer::CallbackService {
public:
    explicit stream_service(std::shared_ptr<report_queue> reports) : queue(std::move(reports)) {}
    grpc::ServerBidiReactor<wire::Envelope, wire::Envelope>*
    Exchange(grpc::CallbackServerContext* context) override;

private:
    std::shared_ptr<report_queue> queue;
};

} // namespace ragwortcove::peer
