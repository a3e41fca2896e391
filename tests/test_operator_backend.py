"""Operator commands against real agents with a simulated log service."""

import asyncio
import json
from contextlib import AsyncExitStack

from copperyard.agent import run_agent
from copperyard.cli import run
from copperyard.settings import AgentSettings
from tests.scenarios.processes import find_free_addresses
from tests.standins.log_service import LogService, serve_asgi
from tests.standins.vm_list import VmListStandIn


async def _stop(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _start_agents(stack, log_url, vm_list_url):
    addresses = iter(find_free_addresses(8))
    urls = []
    for number in (1, 2):
        settings = AgentSettings(
            entry_id=f'e{number}',
            region='cl-centro',
            failure_domain='cl-a',
            caller_address=next(addresses),
            proxy_address=next(addresses),
            agent_address=next(addresses),
            operator_address=next(addresses),
            log_url=log_url,
            vm_list_url=vm_list_url,
        )
        task = asyncio.create_task(run_agent(settings))
        stack.push_async_callback(_stop, task)
        urls.append(f'http://{settings.operator_address}')
    return urls


def test_changes_survive_lost_answers_and_log_outage(tmp_path, capsys):
    """Guards against wrong results of commands when the log misbehaves.

    Two agents run against a log that loses two answers to appends. Of two
    racing changes to the same failure domain, only the first confirmation may
    be accepted. During a log outage, an intent must be refused without
    effect. Lost answers must not lead to a third change.
    """
    log = LogService()

    async def command(*arguments):
        settings = str(tmp_path / 'operator.json')
        options = ['--settings', settings, '--json']
        code = await asyncio.to_thread(run, [*arguments, *options])
        captured = capsys.readouterr()
        answer = json.loads(captured.out) if captured.out else {}
        return code, answer, captured.err

    async def wait_for_exit_code(exit_code):
        async with asyncio.timeout(10):
            while (await command('members'))[0] != exit_code:
                await asyncio.sleep(0.1)

    async def propose(kind, name):
        async with asyncio.timeout(10):
            while True:
                code, answer, _ = await command('intent', kind, name)
                if code != 3:
                    return answer

    async def run_scenario():
        async with AsyncExitStack() as stack:
            log_url = await stack.enter_async_context(serve_asgi(log))
            vms_url = await stack.enter_async_context(
                serve_asgi(VmListStandIn())
            )
            urls = await _start_agents(stack, log_url, vms_url)
            settings = {'operator': 'ana', 'agent_urls': urls}
            path = tmp_path / 'operator.json'
            path.write_text(json.dumps(settings))
            await wait_for_exit_code(0)
            log.faults.lose_answers = 2
            first = await propose('take-out-domain', 'cl-a')
            second = await propose('take-out-domain', 'cl-a')
            path.write_text(json.dumps({**settings, 'agent_urls': urls[::-1]}))
            codes = []
            for planned in (first, second):
                base = str(planned['base_offset'])
                arguments = ('confirm', planned['plan_id'], '--base-offset')
                code, answer, _ = await command(*arguments, base)
                codes.append((code, answer['state']))
            assert codes == [(0, 'accepted'), (1, 'refused')]
            _, status, _ = await command('status', first['change_id'])
            assert status['in_force']
            log.faults.outage = True
            await asyncio.sleep(2.5)
            code, _, error = await command('intent', 'take-out-vm', 'v1')
            assert (code, 'not accepted, log unavailable' in error) == (3, True)

    asyncio.run(run_scenario())
    bodies = [record.body for record in log.stream('configuration').records]
    proposed = {
        body['change_id']
        for body in bodies
        if body['kind'] == 'intent_proposed'
    }
    assert len(proposed) == 2
