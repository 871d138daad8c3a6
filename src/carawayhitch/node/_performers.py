"""Performs the actions of controllers on the resources of a node."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from functools import partial, singledispatch
from typing import TYPE_CHECKING, Any

from carawayhitch import codecs, platform
from carawayhitch.backends import (
    UpstreamCall,
    call_journal,
    cancel_generation,
    check_listening,
    exchange_objects,
    forward_call,
    load_peer_keys,
    read_cache_events,
    read_engine_state,
    read_vm_list,
    resume_generation,
    run_generation,
    run_service_call,
    send_order,
)
from carawayhitch.core import (
    actions,
    declarations,
    events,
    messages,
    result_codes,
    rows,
)
from carawayhitch.node._logs import configure_logs
from carawayhitch.node._metrics import observe_stage
from carawayhitch.node._stores import (
    decode_object_for_store,
    execute_store_action,
    fetch_upstream_load,
    store_call_labels,
)

if TYPE_CHECKING:
    from carawayhitch.node._node import Node


@singledispatch
def perform(action: Any, node: Node) -> None:
    """Perform an action of a controller."""
    raise TypeError(f"unknown action {action!r}; expected a type of core.actions")


@perform.register(actions.SetTimer)
def _set_timer(action: actions.SetTimer, node: Node) -> None:
    node.set_timer(action.deadline, action.event)


@perform.register(actions.Send)
def _send(action: actions.Send, node: Node) -> None:
    if action.node_id == node.settings.node.id:
        node.submit(action.message)
        return
    member = node.board.members_by_id.get(action.node_id)
    if member is None:
        node.count(result_codes.PEER_UNREACHABLE, "")
        return
    _send_datagram(node, member.address, member.peer_port, action.message)


@perform.register(actions.SendToAddress)
def _send_to_address(action: actions.SendToAddress, node: Node) -> None:
    _send_datagram(node, action.address, action.peer_port, action.message)


def _send_datagram(
    node: Node, address: str, port: int, message: messages.PeerMessage
) -> None:
    assert node.peers is not None
    node.peers.send(codecs.PeerAddress(address, port), message)


@perform.register(actions.OpenUpstream)
def _open_upstream(action: actions.OpenUpstream, node: Node) -> None:
    row = node.board.requests_by_id[action.request_id]
    call = _new_upstream_call(action, node)
    if call is not None:
        _spawn_upstream_task(
            node, call, _new_call_coroutine(row.target, action, call, row, node.now)
        )


@singledispatch
def _new_call_coroutine(
    target: Any,
    action: actions.OpenUpstream,
    call: UpstreamCall,
    row: rows.RequestRow,
    now: Callable[[], float],
) -> Any:
    """Return the coroutine that runs a call at its target."""
    raise TypeError(f"expected a target type of core.rows, got {target!r}")


@_new_call_coroutine.register(rows.GenerationTarget)
def _new_generation_coroutine(
    target: rows.GenerationTarget,
    action: actions.OpenUpstream,
    call: UpstreamCall,
    row: rows.RequestRow,
    now: Callable[[], float],
) -> Any:
    return run_generation(call, action)


@_new_call_coroutine.register(rows.ServiceTarget)
def _new_service_coroutine(
    target: rows.ServiceTarget,
    action: actions.OpenUpstream,
    call: UpstreamCall,
    row: rows.RequestRow,
    now: Callable[[], float],
) -> Any:
    return run_service_call(call, action, target, row.idempotency_key)


@_new_call_coroutine.register(rows.ForwardTarget)
def _new_forward_coroutine(
    target: rows.ForwardTarget,
    action: actions.OpenUpstream,
    call: UpstreamCall,
    row: rows.RequestRow,
    now: Callable[[], float],
) -> Any:
    return forward_call(call, action, target)


@_new_call_coroutine.register(rows.RoutedTarget)
def _new_routed_coroutine(
    target: rows.RoutedTarget,
    action: actions.OpenUpstream,
    call: UpstreamCall,
    row: rows.RequestRow,
    now: Callable[[], float],
) -> Any:
    return platform.run_routed_call(call, action, now)


@perform.register(actions.ResumeUpstream)
def _resume_upstream(action: actions.ResumeUpstream, node: Node) -> None:
    call = _new_upstream_call(action, node)
    if call is not None:
        _spawn_upstream_task(node, call, resume_generation(call, action))


def _new_upstream_call(
    action: actions.OpenUpstream | actions.ResumeUpstream, node: Node
) -> UpstreamCall | None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is None:
        node.submit(events.CallerGone(action.request_id))
        return None
    assert node.sessions is not None
    return UpstreamCall(
        request_id=action.request_id,
        attempt=action.attempt,
        content=open_call.content,
        caller=open_call.caller,
        # aiohttp takes bytes that arrive on an idle connection for the response to the
        # next call, so on a reused connection a late response could reach another
        # caller.
        session=node.sessions.fresh,
        settings=node.settings,
        submit=node.submit,
        memory=node.body_memory,
    )


def _spawn_upstream_task(node: Node, call: UpstreamCall, coroutine: Any) -> None:
    _cancel_upstream_task(node, call.request_id)
    tasks = node.upstream_tasks_by_request_id
    task = tasks[call.request_id] = node.spawn(coroutine)

    def handle_done(done: asyncio.Task[None]) -> None:
        if tasks.get(call.request_id) is done:
            del tasks[call.request_id]
        if not done.cancelled() and (error := done.exception()) is not None:
            # Without this event, an unexpected exception in a backend would leave the
            # caller without a response.
            node.submit(
                events.UpstreamCallFailed(
                    call.request_id, call.attempt, "link_lost", True, repr(error)
                )
            )

    task.add_done_callback(handle_done)


def _cancel_upstream_task(node: Node, request_id: str) -> None:
    task = node.upstream_tasks_by_request_id.pop(request_id, None)
    if task is not None:
        task.cancel()


@perform.register(actions.CopyMemory)
def _copy_memory(action: actions.CopyMemory, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is None:
        return
    assert node.sessions is not None
    node.spawn_and_submit(
        platform.copy_memory(node.sessions.fresh, open_call.content, action, node.now())
    )


@perform.register(actions.DropBody)
def _drop_body(action: actions.DropBody, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is not None:
        open_call.content.body.drop()


@perform.register(actions.CloseConnection)
def _close_connection(action: actions.CloseConnection, node: Node) -> None:
    connection = node.connections_by_id.get(action.connection_id)
    if connection is not None:
        connection.close_for(action.code)


@perform.register(actions.ReleaseMemory)
def _release_memory(action: actions.ReleaseMemory, node: Node) -> None:
    assert node.sessions is not None
    node.spawn(platform.release_memory(node.sessions.fresh, action))


@perform.register(actions.CloseUpstream)
def _close_upstream(action: actions.CloseUpstream, node: Node) -> None:
    if action.linger_seconds:
        task = node.upstream_tasks_by_request_id.pop(action.request_id, None)
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(action.linger_seconds, task.cancel)
        return
    _cancel_upstream_task(node, action.request_id)
    row = node.board.requests_by_id.get(action.request_id)
    if action.cancel_generation and row is not None and row.generation_id:
        assert node.sessions is not None
        node.spawn(
            cancel_generation(node.sessions.reused, row.address, row.generation_id)
        )


@perform.register(actions.CancelGeneration)
def _cancel_generation(action: actions.CancelGeneration, node: Node) -> None:
    if action.generation_id:
        assert node.sessions is not None
        node.spawn(
            cancel_generation(
                node.sessions.reused, action.address, action.generation_id
            )
        )


@perform.register(actions.CloseIdleConnections)
def _close_idle_connections(action: actions.CloseIdleConnections, node: Node) -> None:
    node.close_idle_connections()


@perform.register(actions.StartStream)
def _start_stream(action: actions.StartStream, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is not None:
        open_call.caller.start_stream(action)


@perform.register(actions.ForwardChunk)
def _forward_chunk(action: actions.ForwardChunk, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is not None:
        open_call.caller.write(action.data)


@perform.register(actions.FinishStream)
def _finish_stream(action: actions.FinishStream, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is not None:
        open_call.caller.finish_stream()


@perform.register(actions.SendAnswer)
def _send_answer(action: actions.SendAnswer, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is not None:
        open_call.caller.answer(action)


@perform.register(actions.RefuseCall)
def _refuse_call(action: actions.RefuseCall, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is not None:
        open_call.caller.refuse(action)


@perform.register(actions.PollLoad)
def _poll_load(action: actions.PollLoad, node: Node) -> None:
    assert node.platform_session is not None
    assert node.store is not None
    node.spawn_and_submit(
        fetch_upstream_load(
            node.store,
            node.platform_session,
            action.upstream_id,
            action.address,
            node.now(),
        )
    )


@perform.register(actions.CheckListening)
def _check_listening(action: actions.CheckListening, node: Node) -> None:
    node.spawn_and_submit(check_listening(action.upstream_id, action.address))


@perform.register(actions.PollCacheEvents)
def _poll_cache_events(action: actions.PollCacheEvents, node: Node) -> None:
    assert node.platform_session is not None
    session = node.platform_session

    async def poll() -> None:
        for event in await read_cache_events(
            session, action.upstream_id, action.address, action.since
        ):
            node.submit(event)

    node.spawn(poll())


@perform.register(actions.PollVmList)
def _poll_vm_list(action: actions.PollVmList, node: Node) -> None:
    assert node.platform_session is not None
    url = node.settings.platform.vm_list_url
    node.spawn_and_submit(read_vm_list(node.platform_session, url))


@perform.register(actions.ReadEngineState)
def _read_engine_state(action: actions.ReadEngineState, node: Node) -> None:
    assert node.platform_session is not None
    node.spawn_and_submit(read_engine_state(node.platform_session, action))


@perform.register(actions.SendOrder)
def _send_order(action: actions.SendOrder, node: Node) -> None:
    assert node.sessions is not None
    node.spawn_and_submit(send_order(node.sessions.fresh, action, node.now))


async def _call_store(action: Any, node: Node) -> Any:
    """Execute a store action, count the call and return its event."""
    try:
        event = await execute_store_action(node.store, action)
    except asyncio.CancelledError:
        # The store charges a call that is cancelled like any other.
        node.metrics.store_calls[store_call_labels(action, None)] += 1
        raise
    node.metrics.store_calls[store_call_labels(action, event)] += 1
    return event


@perform.register(actions.ReadObject)
@perform.register(actions.WriteObject)
def _perform_store_action(action: Any, node: Node) -> None:
    assert node.store is not None
    node.spawn_and_submit(_call_store(action, node))


@perform.register(actions.ListObjects)
def _list_objects(action: actions.ListObjects, node: Node) -> None:
    assert node.store is not None
    if not action.beside_watch:
        _cancel_watch(action.scope, node)
    node.spawn_and_submit(_call_store(action, node))


@perform.register(actions.WatchObjects)
def _watch_objects(action: actions.WatchObjects, node: Node) -> None:
    """Watch a scope, in place of its last watch if that one still waits."""
    assert node.store is not None
    _cancel_watch(action.scope, node)
    node.watch_tasks_by_scope[action.scope] = node.spawn_and_submit(
        _call_store(action, node)
    )


def _cancel_watch(scope: str, node: Node) -> None:
    last = node.watch_tasks_by_scope.pop(scope, None)
    if last is not None:
        last.cancel()


@perform.register(actions.DecodeObjects)
def _decode_objects(action: actions.DecodeObjects, node: Node) -> None:
    assert node.store is not None
    store = node.store
    decoded = tuple(decode_object_for_store(store, stored) for stored in action.objects)
    node.submit(events.ObjectsDecoded(action.operation_id, decoded))


@perform.register(actions.PullObjects)
def _pull_objects(action: actions.PullObjects, node: Node) -> None:
    assert node.platform_session is not None
    session, settings = node.platform_session, node.settings
    node.spawn_and_submit(
        exchange_objects(session, settings, action, node.count_exchange_bytes)
    )


@perform.register(actions.AnswerExchange)
def _answer_exchange(action: actions.AnswerExchange, node: Node) -> None:
    node.answer_operation(action.exchange_id, action)


@perform.register(actions.AnswerChange)
def _answer_change(action: actions.AnswerChange, node: Node) -> None:
    node.answer_operation(action.operation_id, action)


@perform.register(actions.ReadJournal)
@perform.register(actions.WriteJournal)
@perform.register(actions.ReadLayout)
@perform.register(actions.WriteLayout)
def _perform_journal_action(action: Any, node: Node) -> None:
    assert node.store is not None
    unix_minus_node_clock = time.time() - node.now()
    ask = partial(_call_store, node=node)
    node.spawn_and_submit(call_journal(action, ask, unix_minus_node_clock))


@perform.register(actions.LoadPeerKeys)
def _load_peer_keys(action: actions.LoadPeerKeys, node: Node) -> None:
    assert node.store is not None
    ask = partial(_call_store, node=node)
    node.spawn_and_submit(load_peer_keys(action, ask, secrets.token_hex))


@perform.register(actions.RegisterEntry)
def _register_entry(action: actions.RegisterEntry, node: Node) -> None:
    assert node.store is not None
    node_settings = node.settings.node
    value = codecs.encode_entry_registration(node_settings)
    write = actions.WriteObject(
        action.operation_id,
        declarations.ENTRY_REGISTRATION,
        node_settings.id,
        value,
        action.expected_version,
    )
    node.spawn_and_submit(_call_store(write, node))


@perform.register(actions.IssueKeys)
def _issue_keys(action: actions.IssueKeys, node: Node) -> None:
    open_call = node.calls_by_request_id.get(action.request_id)
    if open_call is None:
        return
    settings = node.settings
    keys = [
        codecs.sign_issued_key(
            rows.IssuedKey(
                node_id=settings.node.id,
                incarnation=node.incarnation,
                address=f"{settings.node.address}:{settings.node.http_port}",
                account=action.account,
                serial=serial,
                deadline=action.deadline,
            ),
            settings.peers.keys,
        )
        for serial in action.serials
    ]
    body = codecs.encode_issued_keys(keys, round(action.deadline - node.now(), 3))
    answer = actions.SendAnswer(action.request_id, 200, "application/json", body)
    open_call.caller.answer(answer)


@perform.register(actions.Count)
def _count(action: actions.Count, node: Node) -> None:
    node.count(action.code, action.rank)


@perform.register(actions.Observe)
def _observe(action: actions.Observe, node: Node) -> None:
    labels = (action.stage, action.kind, action.rank)
    observe_stage(node.metrics, labels, action.seconds)


@perform.register(actions.CountZoneCall)
def _count_zone_call(action: actions.CountZoneCall, node: Node) -> None:
    labels = (action.entry_zone, action.upstream_zone, action.reason)
    node.metrics.zone_calls[labels] += 1
    node.metrics.zone_bytes[labels] += action.byte_count


@perform.register(actions.Log)
def _log(action: actions.Log, node: Node) -> None:
    getattr(node.log, action.level)(action.event, **action.fields)


@perform.register(actions.OpenLog)
def _open_log(action: actions.OpenLog, node: Node) -> None:
    node.log = configure_logs(node.settings)


@perform.register(actions.StopProcess)
def _stop_process(action: actions.StopProcess, node: Node) -> None:
    node.stopped.set()
