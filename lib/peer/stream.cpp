#include "stream.hpp"

#include <utility>

namespace ragwortcove::peer {

report_queue::report_queue(std::function<void()> wake) : wake_loop(std::move(wake)) {}

stream_id report_queue::enter()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->closed)
        return 0;
    ++this->held;
    return ++this->last_stream;
}

void report_queue::leave()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    --this->held;
    if (this->held == 0)
        this->emptied.notify_all();
}

// The loop is woken under the lock, so that it cannot end between `closed` and the wake-up.
void report_queue::push(stream_report&& report)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    const bool was_empty = this->reports.empty();
    this->reports.push_back(std::move(report));
    if (was_empty && !this->closed)
        this->wake_loop();
}

std::vector<stream_report> report_queue::take()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return std::exchange(this->reports, {});
}

void report_queue::close()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->closed = true;
}

void report_queue::wait_until_empty()
{
    std::unique_lock<std::mutex> guard(this->mutex);
    this->emptied.wait(guard, [this] { return this->held == 0; });
}

outbound_stream::outbound_stream(stream_id number, std::shared_ptr<report_queue> reports,
                                 const std::shared_ptr<grpc::Channel>& channel)
    : id(number), queue(std::move(reports)), stub(wire::Peer::NewStub(channel))
{
}

// The hold keeps gRPC from finishing the stream while the loop may still start operations on it.
void outbound_stream::start()
{
    this->stub->async()->Exchange(&this->context, this);
    this->AddHold();
    this->StartRead(&this->incoming);
    this->StartCall();
}

void outbound_stream::write(wire::Envelope&& value)
{
    this->outgoing = std::move(value);
    this->StartWrite(&this->outgoing);
}

void outbound_stream::end()
{
    this->context.TryCancel();
    this->RemoveHold();
}

void outbound_stream::OnReadDone(bool ok)
{
    if (!ok) {
        this->queue->push(stream_over{this->id});
        return;
    }
    auto value = std::make_unique<wire::Envelope>(std::move(this->incoming));
    this->queue->push(envelope_read{this->id, std::move(value)});
}

void outbound_stream::OnWriteDone(bool ok)
{
    if (!ok) {
        this->queue->push(stream_over{this->id});
        return;
    }
    this->queue->push(envelope_written{this->id});
}

void outbound_stream::OnDone(const grpc::Status&)
{
    const std::shared_ptr<report_queue> kept = this->queue;
    delete this;
    kept->leave();
}

inbound_stream::inbound_stream(stream_id number, std::shared_ptr<report_queue> reports,
                               grpc::CallbackServerContext& call_context)
    : id(number), queue(std::move(reports)), context(call_context)
{
    this->queue->push(stream_accepted{this->id, this});
}

void inbound_stream::write(wire::Envelope&& value)
{
    this->outgoing = std::move(value);
    this->StartWrite(&this->outgoing);
}

void inbound_stream::finish()
{
    this->Finish(grpc::Status::OK);
}

void inbound_stream::end()
{
    this->context.TryCancel();
    this->Finish(grpc::Status::CANCELLED);
}

void inbound_stream::OnReadDone(bool ok)
{
    if (!ok) {
        this->queue->push(stream_over{this->id});
        return;
    }
    auto value = std::make_unique<wire::Envelope>(std::move(this->incoming));
    this->queue->push(envelope_read{this->id, std::move(value)});
}

void inbound_stream::OnWriteDone(bool ok)
{
    if (!ok) {
        this->queue->push(stream_over{this->id});
        return;
    }
    this->queue->push(envelope_written{this->id});
}

void inbound_stream::OnCancel()
{
    this->queue->push(stream_over{this->id});
}

void inbound_stream::OnDone()
{
    const std::shared_ptr<report_queue> kept = this->queue;
    delete this;
    kept->leave();
}

namespace {

/// Answers a stream that came after the transport began to end.
class refused_stream final : public grpc::ServerBidiReactor<wire::Envelope, wire::Envelope> {
public:
    refused_stream() { this->Finish({grpc::StatusCode::UNAVAILABLE, "node is ending"}); }
    void OnDone() override { delete this; }
};

} // namespace

grpc::ServerBidiReactor<wire::Envelope, wire::Envelope>*
stream_service::Exchange(grpc::CallbackServerContext* context)
{
    const stream_id id = this->queue->enter();
    if (id == 0)
        return new refused_stream;
    return new inbound_stream(id, this->queue, *context);
}

} // namespace ragwortcove::peer
